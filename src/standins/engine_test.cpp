#include "standins/testing.h"

#include <atomic>
#include <sstream>

using namespace tamarackweir;
using namespace tamarackweir::standins;
using namespace tamarackweir::standins::testing;

namespace {

const char* const kChat = "/v1/chat/completions";

json Ask(const std::string& aText, bool aStream = false, const std::string& aModel = "m@v1")
{
  return { { "model", aModel },
           { "stream", aStream },
           { "messages", { { { "role", "user" }, { "content", aText } } } } };
}

std::unique_ptr<standin> Engine(const json& aOptions)
{
  json entry{ { "kind", "engine" },
              { "id", "e" },
              { "versions", { "m@v1", "m@v2" } },
              { "first_token_ms", 0 },
              { "token_ms", 0 } };
  entry.update(aOptions);
  return Start(entry);
}

json LoadOf(const standin& aEngine)
{
  return Get(aEngine, "/load");
}

json StatsOf(const standin& aEngine)
{
  return Get(aEngine, "/stats");
}

/// Requests that run on threads until they are answered or dropped.
struct running_callers
{
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mDropped{ 0 };
  std::vector<std::jthread> mThreads;

  void Add(const standin& aEngine, int aCount, bool aStream)
  {
    for (int i = 0; i < aCount; ++i) {
      mThreads.emplace_back([this, &aEngine, aStream, i] {
        const auto answer = Post(aEngine, kChat, Ask(Numbered("m", i), aStream));
        const bool whole = answer && answer->status == 200 &&
                           (!aStream || answer->body.ends_with("data: [DONE]\n\n"));
        ++(whole ? mAnswered : mDropped);
      });
    }
  }
};

} // namespace

// Guards against streams that differ from the plain answer, lack ids or lack the end.
TEST_CASE("a streamed answer has ids from 0, the plain answer's text, usage and an end")
{
  const auto engine = Engine({ { "answer_tokens", 3 } });
  const httplib::Headers headers{ { "Tamarackweir-Request", "r-1" } };
  const auto plain = Post(*engine, kChat, Ask("one two"), headers);
  REQUIRE(plain->status == 200);
  CHECK(plain->get_header_value("Tamarackweir-Request") == "r-1");
  const json document = json::parse(plain->body);
  CHECK(document.at("usage").at("prompt_tokens") == 2);
  CHECK(document.at("usage").at("completion_tokens") == 3);

  const auto stream = Post(*engine, kChat, Ask("one two", true), headers);
  CHECK(stream->get_header_value("Tamarackweir-Request") == "r-1");
  std::istringstream lines(stream->body);
  std::string line;
  std::string text;
  std::string last;
  int id = 0;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      CHECK(line == Numbered("id: ", id++));
    } else if (line.starts_with("data: {")) {
      const json chunk = json::parse(line.substr(6));
      text += chunk.at("choices").at(0).at("delta").value("content", "");
      if (chunk.contains("usage")) {
        CHECK(chunk.at("usage") == document.at("usage"));
      }
    } else if (!line.empty()) {
      last = line;
    }
  }
  CHECK(id == 5);
  CHECK(last == "data: [DONE]");
  CHECK(text == document.at("choices").at(0).at("message").at("content"));
}

// Guards against a resumed stream that repeats or loses a chunk, or that another server continues
// with another text.
TEST_CASE("a resumed stream is the rest of the stream, also from another engine")
{
  const auto first = Engine({ { "answer_tokens", 5 } });
  const auto second = Engine({ { "answer_tokens", 5 } });
  const std::string whole = Post(*first, kChat, Ask("x", true))->body;
  const httplib::Headers resume{ { "Last-Event-ID", "2" } };
  const std::string rest = Post(*second, kChat, Ask("x", true), resume)->body;
  CHECK(rest.starts_with("id: 3\n"));
  CHECK(whole.ends_with(rest));
  CHECK(Post(*second, kChat, Ask("x", true), { { "Last-Event-ID", "99" } })->status == 400);
  Set(*second, { { "resume", false } });
  CHECK(Post(*second, kChat, Ask("x", true), resume)->body == whole);
}

// Guards against a cold engine that survives an overload, with which guarantee 5 can't fail.
TEST_CASE("a cold engine over its limit drops all requests and restarts with a new epoch")
{
  const auto engine =
    Engine({ { "cold", true }, { "cold_limit", 2 }, { "first_token_ms", 60'000 } });
  const json before = LoadOf(*engine);
  CHECK(before.at("cold") == true);
  running_callers callers;
  callers.Add(*engine, 1, false);
  callers.Add(*engine, 1, true);
  Await([&] { return LoadOf(*engine).at("running") == 2; });
  CHECK_FALSE(Post(*engine, kChat, Ask("one too many")));
  callers.mThreads.clear();
  CHECK(callers.mDropped == 2);
  const json after = LoadOf(*engine);
  CHECK(after.at("epoch") != before.at("epoch"));
  CHECK(after.at("running") == 0);
  CHECK(StatsOf(*engine).at("overloads") == 1);
}

// Guards against "not run" refusals that are counted as failures or that run the request.
TEST_CASE("refusals at capacity, while leaving and of unloaded versions are not_run")
{
  const auto engine = Engine({ { "capacity", 0 } });
  const auto refuse = [&](const json& aBody) {
    const auto answer = Post(*engine, kChat, aBody);
    CHECK(answer->status == 503);
    CHECK(json::parse(answer->body).at("outcome") == "not_run");
  };
  refuse(Ask("x"));
  Set(*engine, { { "capacity", 1 }, { "leaving", true } });
  refuse(Ask("x"));
  Set(*engine, { { "leaving", false } });
  refuse(Ask("x", false, "m@v3"));
  CHECK(Post(*engine, kChat, Ask("x"))->status == 200);
  CHECK(StatsOf(*engine).at("started") == 1);
}

// Guards against a crash that spares other requests, which would hide innocent suspects.
TEST_CASE("a message with crash-engine drops every running request")
{
  const auto engine = Engine({ { "first_token_ms", 60'000 } });
  const json epoch = LoadOf(*engine).at("epoch");
  running_callers callers;
  callers.Add(*engine, 2, true);
  callers.Add(*engine, 1, false);
  Await([&] { return LoadOf(*engine).at("running") == 3; });
  CHECK_FALSE(Post(*engine, kChat, Ask("please crash-engine now")));
  callers.mThreads.clear();
  CHECK(callers.mDropped == 3);
  const json load = LoadOf(*engine);
  CHECK(load.at("epoch") != epoch);
  CHECK(load.at("running") == 0);
  CHECK(load.at("cold") == true);
  CHECK(StatsOf(*engine).at("crashes") == 1);
}

// Guards against work that goes on for callers that have gone.
TEST_CASE("a client that disconnects cancels its request, plain or streamed")
{
  const auto engine = Engine({ { "first_token_ms", 60'000 } });
  for (const bool stream : { false, true }) {
    auto client = ClientOf(*engine);
    const std::jthread caller(
      [&] { client.Post(kChat, Ask("x", stream).dump(), "application/json"); });
    Await([&] { return LoadOf(*engine).at("running") == 1; });
    client.stop();
    Await([&] { return LoadOf(*engine).at("running") == 0; });
  }
  CHECK(StatsOf(*engine).at("cancelled") == 2);
}

// Guards against an engine that becomes warm without having served, or never.
TEST_CASE("a cold engine is warm after the configured number of requests")
{
  const auto engine = Engine({ { "cold", true }, { "warm_after_requests", 2 } });
  Post(*engine, kChat, Ask("x"));
  CHECK(LoadOf(*engine).at("cold") == true);
  Post(*engine, kChat, Ask("x"));
  Await([&] { return LoadOf(*engine).at("cold") == false; });
}

// Guards against reports that are fresh despite the lag.
TEST_CASE("a lagging load report shows an earlier state")
{
  const auto engine = Engine({ { "load_lag_ms", 3'600'000 }, { "first_token_ms", 60'000 } });
  running_callers callers;
  callers.Add(*engine, 1, true);
  Await([&] { return StatsOf(*engine).at("load").at("running") == 1; });
  CHECK(LoadOf(*engine).at("running") == 0);
  Set(*engine, { { "load_lag_ms", 0 } });
  CHECK(LoadOf(*engine).at("running") == 1);
  Set(*engine, { { "crash", true } });
}

// Guards against bad versions that can't be told from good ones, or that touch other versions.
TEST_CASE("the share of bad answers holds for its version only")
{
  const auto engine = Engine({ { "per_version", { { "m@v2", { { "bad_share", 0.3 } } } } } });
  const auto bad = [&](const std::string& aModel) {
    int count = 0;
    for (int i = 0; i < 200; ++i) {
      const auto answer = Post(*engine, kChat, Ask(Numbered("q", i), false, aModel));
      const json content =
        json::parse(answer->body).at("choices").at(0).at("message").at("content");
      count += content.get<std::string>().starts_with("bad") ? 1 : 0;
    }
    return count;
  };
  CHECK(bad("m@v1") == 0);
  const int seen = bad("m@v2");
  CHECK(seen > 30);
  CHECK(seen < 90);
}

// Guards against a fault under load that also shows without load, or in other versions.
TEST_CASE("a version that fails above a load answers below it")
{
  const auto engine = Engine(
    { { "per_version", { { "m@v2", { { "fails_above", 1 }, { "first_token_ms", 300 } } } } } });
  CHECK(Post(*engine, kChat, Ask("alone", false, "m@v2"))->status == 200);
  const std::jthread busy([&] { Post(*engine, kChat, Ask("busy", false, "m@v2")); });
  Await([&] { return StatsOf(*engine).at("load").at("running") == 1; });
  CHECK(Post(*engine, kChat, Ask("second", false, "m@v2"))->status == 500);
  CHECK(Post(*engine, kChat, Ask("other", false, "m@v1"))->status == 200);
}

// Guards against stale drivers that are never refused, or always.
TEST_CASE("a stale fencing number is refused where it is checked")
{
  const auto engine = Engine(json::object());
  const auto order = [&](const char* aOrder, int aFencing) {
    return Post(*engine, "/orders",
                { { "order", aOrder }, { "version", "m@v2" }, { "fencing", aFencing } })
      ->status;
  };
  CHECK(order("unload", 5) == 200);
  CHECK(order("load", 4) == 409);
  CHECK(LoadOf(*engine).at("versions") == json{ "m@v1" });
  Set(*engine, { { "check_fencing", false } });
  CHECK(order("load", 4) == 200);
  Await([&] { return LoadOf(*engine).at("versions").size() == 2; });
  CHECK(StatsOf(*engine).at("fencing") == 5);
  CHECK(order("stop", 6) == 400);
}

// Guards against loads that bypass the weight store or give up at its limit or outage.
TEST_CASE("an order to load takes the weights and waits while the store refuses")
{
  const auto weights = Start({ { "kind", "weights" }, { "down", 1 } });
  const auto engine = Engine({ { "weights_address", Numbered("127.0.0.1:", weights->mPort) } });
  CHECK(Post(*engine, "/orders", { { "order", "load" }, { "version", "m@v3" }, { "fencing", 1 } })
          ->status == 200);
  Await([&] { return LoadOf(*engine).at("versions").size() == 3; });
  CHECK(StatsOf(*engine).at("weights_failed") == 1);
  CHECK(StatsOf(*engine).at("weights_fetched") == 1);
}

// Guards against a thread pool that makes streams wait for each other.
TEST_CASE("an engine carries 300 streams at once")
{
  const auto engine =
    Engine({ { "capacity", 300 }, { "first_token_ms", 60'000 }, { "answer_tokens", 2 } });
  running_callers callers;
  callers.Add(*engine, 300, true);
  Await([&] { return LoadOf(*engine).at("running") == 300; });
  // Stopping ends the delays and completes the answers.
  Stop(*engine);
  callers.mThreads.clear();
  CHECK(callers.mAnswered == 300);
}

// Guards against an engine that is back at once, or never, after a crash with a restart time.
TEST_CASE("a crashed engine drops connections until its restart time is over")
{
  const auto engine = Engine({ { "restart_ms", 3'600'000 } });
  Set(*engine, { { "crash", true } });
  CHECK_FALSE(Post(*engine, kChat, Ask("x")));
  const auto quick = Engine({ { "restart_ms", 30 } });
  Set(*quick, { { "crash", true } });
  Await([&] {
    const auto answer = Post(*quick, kChat, Ask("x"));
    return answer && answer->status == 200;
  });
  CHECK(StatsOf(*quick).at("crashes") == 1);
}

// Guards against delays that are accepted as switches and then ignored.
TEST_CASE("first-token, token and request delays add up, per version where set")
{
  const auto engine =
    Engine({ { "answer_tokens", 3 },
             { "per_version", { { "m@v2", { { "first_token_ms", 20 }, { "token_ms", 5 } } } } } });
  const auto elapsed = [&](const std::string& aModel) {
    const time_point start = Now();
    CHECK(Post(*engine, kChat, Ask("x", true, aModel))->status == 200);
    return Now() - start;
  };
  CHECK(elapsed("m@v2") >= 30ms);
  Set(*engine, { { "slow_ms", 40 } });
  CHECK(elapsed("m@v1") >= 40ms);
  CHECK(elapsed("m@v2") >= 70ms);
}
