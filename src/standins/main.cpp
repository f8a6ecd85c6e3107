#include "base/error.h"
#include "standins/standin.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <easylogging++.h>
#include <pthread.h>

INITIALIZE_EASYLOGGINGPP

int main(int aCount, char** aArguments)
{
  using namespace tamarackweir;
  CLI::App app("Stand-ins for the platform and the backend servers, for tests on loopback");
  std::string config;
  app.add_option("--config", config, "JSON file with comments that lists the stand-ins")
    ->required();
  CLI11_PARSE(app, aCount, aArguments);

  // Blocked before threads start, so that only sigwait receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    const auto running = standins::StartAll(standins::ReadConfig(config));
    for (const auto& standin : running) {
      LOG(INFO) << standin->mKind << " " << standin->mId
                << " listens on 127.0.0.1:" << standin->mPort;
    }
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << "signal " << received << ", stopping";
    for (const auto& standin : running) {
      standins::Stop(*standin);
    }
  } catch (const error& failure) {
    LOG(ERROR) << failure.what();
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
