#pragma once

#include "net/loop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <functional>
#include <stdexcept>

namespace tamarackweir::net {

/// Lets a parser of Beast consume received bytes; returns how many it took. A field of 64 KiB or
/// more, which Beast can't store and throws for, is the error `header_limit`.
template<class Parser, class Buffers>
std::size_t Put(Parser& aParser, const Buffers& aBytes, error_code& aFailure)
{
  try {
    return aParser.put(aBytes, aFailure);
  } catch (const std::length_error&) {
    aFailure = boost::beast::http::error::header_limit;
    return 0;
  }
}

/// How much of a message is read.
enum class message_part
{
  Header,
  Whole,
};

/// Awaited before at most so many bytes are read; false: there is no memory for them.
using room_request = std::function<task<bool>(std::size_t)>;

/// Reads a message from a socket, with the errors of `http::async_read`. Unlike there, an exception
/// of the parser can't leave a callback, which would destroy the waiting coroutine. Returns
/// `no_buffer_space` without memory for the next bytes.
template<class Parser>
task<error_code> ReadMessage(tcp::socket& aSocket, boost::beast::flat_buffer& aBuffer,
                             Parser& aParser, message_part aPart, const room_request& aAwaitRoom)
{
  namespace http = boost::beast::http;
  constexpr std::size_t kMaxReadBytes = 1U << 14U;
  const bool isWhole = aPart == message_part::Whole;
  aParser.eager(isWhole);
  while (isWhole ? !aParser.is_done() : !aParser.is_header_done()) {
    error_code failure;
    if (aBuffer.size() > 0) {
      const std::size_t size = Put(aParser, aBuffer.data(), failure);
      aBuffer.consume(size);
      if (failure && failure != http::error::need_more) {
        co_return failure;
      }
      if (!failure && size > 0) {
        continue;
      }
    }
    const std::size_t room = boost::beast::read_size(aBuffer, kMaxReadBytes);
    if (room == 0) {
      co_return http::error::buffer_overflow;
    }
    if (!co_await aAwaitRoom(room)) {
      co_return boost::asio::error::no_buffer_space;
    }
    failure = {};
    const std::size_t size = co_await aSocket.async_read_some(
      aBuffer.prepare(room), asio::redirect_error(asio::use_awaitable, failure));
    aBuffer.commit(size);
    if (failure == asio::error::eof) {
      if (!aParser.got_some()) {
        co_return http::error::end_of_stream;
      }
      failure = {};
      aParser.put_eof(failure);
    }
    if (failure) {
      co_return failure;
    }
  }
  co_return error_code{};
}

} // namespace tamarackweir::net
