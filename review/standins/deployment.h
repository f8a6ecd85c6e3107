#pragma once

#include "standins.h"

namespace review {

inline const std::string kHost = "ficu95.example";
inline const std::string kKey = "n2ctnfzs989anu6wsjnb";
inline const std::string kTenant = "hule930";
inline const std::string kModelService = "weir-llm";
inline const std::string kAppService = "onboard-app";

/// The configuration of a small deployment: a streaming route to the model runners, and an unsafe
/// and a safe route to the application runners.
json Configuration();

/// Events of a stream, 1 to `aCount`.
std::string StreamEvent(int aId);
std::string Chunk(const std::string& aBytes);

/// How a sound runner works: a stream of `aEvents` events for a route of the model service, a plain
/// answer for the others.
bool DoSoundWork(runner& aRunner, connection& aPeer, const message& aRequest);

/// Three machines with 260 MB each, one in each zone, ready for traffic.
class fleet
{
public:
  fleet(record& aRecord, store& aStore);
  ~fleet();
  std::vector<std::unique_ptr<machine>> mMachines;
  /// Waits until all machines are ready. Returns false after 20 s.
  bool AwaitReady();
  /// The machine that the platform gives to the next connection.
  machine& Next();
  /// Ends all processes, and removes their folder.
  void Stop();

private:
  std::string mFolder;
};

} // namespace review
