#pragma once

// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include "base/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <string>

namespace tamarackweir::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// A coroutine on the event loop.
template<class T = void>
using task = asio::awaitable<T>;

/// The time of the event loop. It counts the time in which the machine was suspended, and does not
/// follow changes of the time of day.
time_point Now();

/// Waits for `aDelay`.
task<> SleepFor(asio::any_io_executor aExecutor, duration aDelay);

/// Starts a coroutine that nobody waits for. An exception that leaves it is logged under `aName`.
void Spawn(asio::any_io_executor aExecutor, const char* aName, task<> aTask);

/// Runs the loop until it is stopped or has nothing to do. An exception that leaves a callback is
/// logged, and the others go on. Throws `error` if that happens a hundred times in a row.
void Run(asio::io_context& aLoop);

/// Parses "IP:PORT". Throws `error` of kind `InvalidInput`.
tcp::endpoint ParseEndpoint(const std::string& aText);

} // namespace tamarackweir::net
