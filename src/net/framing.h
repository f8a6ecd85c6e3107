#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

namespace tamarackweir::net {

/// Whether the end of the body is known (RFC 9112, section 6.3): no transfer coding, or `chunked`
/// alone, which is the only one that is decoded here. The parser takes another coding for the
/// absence of a body, so that the body would be read as the next message.
inline bool HasKnownEnd(const boost::beast::http::fields& aHeader)
{
  const auto [begin, end] = aHeader.equal_range(boost::beast::http::field::transfer_encoding);
  return begin == end ||
         (std::next(begin) == end && boost::beast::iequals(begin->value(), "chunked"));
}

} // namespace tamarackweir::net
