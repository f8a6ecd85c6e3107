#pragma once

#include "entry/caller_stream.h"

#include <functional>
#include <httplib.h>

namespace tamarackweir::entry {

/// Options of a server with bounds on what callers send and how long they take for it.
struct bounded_server_options
{
  std::size_t mThreads = 8;
  std::size_t mRequestsPerConnection = 1000;
  caller_stream_options mStream;
  /// Whether the library may match the request against the routes and read its body, which it does
  /// for any path; others are refused with the body unread. Absent: it may always.
  std::function<bool(const httplib::Request&)> mIsServed;
};

/// The library's server over streams with bounds.
class bounded_server : public httplib::Server
{
public:
  /// \param aMemory for the headers of all callers; must outlive the server
  bounded_server(body_memory& aMemory, bounded_server_options aOptions);

private:
  bool process_and_close_socket(socket_t aSocket) override; // NOLINT: the library's name

  body_memory& mMemory;
  bounded_server_options mBounds;
  caller_load mLoad;
};

} // namespace tamarackweir::entry
