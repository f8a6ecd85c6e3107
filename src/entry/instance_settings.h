#pragma once

#include "base/ids.h"
#include "base/log.h"
#include "platform/endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace tamarackweir::entry {

/// The settings of one instance, from its own file. The shared tree is kept in the platform's
/// table.
struct instance_settings
{
  instance_id mId;
  owner_id mOwner;
  data_centre_id mDataCentre;
  platform::endpoint mCallers;   ///< where callers connect (HTTP)
  platform::endpoint mOperators; ///< health, metrics and the operator API (HTTP)
  platform::endpoint mPeers;     ///< where other instances connect (ZeroMQ)
  platform::endpoint mTable;
  platform::endpoint mObjects;
  platform::endpoint mInstanceList;
  std::optional<platform::endpoint> mRating;
  std::string mSessionKeysFile; ///< JSON; see `sessions::ParseKeys`
  std::string mPeerKeyFile;     ///< the secret that authenticates messages between instances
  int mCallerThreads = 512;     ///< concurrent requests that the instance can hold
  int mCallerMemoryMb = 64;     ///< for the headers and bodies of all callers
  int mCallerHeaderKb = 64;     ///< request line and header of one request
  int mCallerHeaderMs = 30000;  ///< from the first byte of a header to its last
  log_options mLog;
};

/// A fault in a settings file: where, what is wrong, what to do.
struct settings_fault
{
  std::string mPath; ///< JSON pointer
  std::string mWhat;
  std::string mRemedy;
};

/// The parsed settings, or all faults at once.
struct instance_settings_result
{
  instance_settings mSettings;
  std::vector<settings_fault> mFaults;
};

/// Parses the text of an instance's settings file (JSON with comments).
instance_settings_result ParseInstanceSettings(const std::string& aText);

/// Reads and parses a settings file. Throws `error` of kind `InvalidInput` whose message lists
/// every fault.
instance_settings LoadInstanceSettings(const std::string& aFile);

} // namespace tamarackweir::entry
