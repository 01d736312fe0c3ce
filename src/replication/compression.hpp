// Compression of large values between nodes. With the value that the receiver
// holds as reference, what is sent is about as long as what has changed.
#ifndef YUCCAFALL_REPLICATION_COMPRESSION_HPP
#define YUCCAFALL_REPLICATION_COMPRESSION_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"

namespace yuccafall::replication {

// `reference` is empty, or a value that the receiver holds.
core::result<std::string> compress(std::string_view value,
                                   std::string_view reference);

// Fails where the frame was made with another reference, and for values longer
// than any that the platform stores.
core::result<std::string> decompress(std::string_view frame,
                                     std::string_view reference);

} // namespace yuccafall::replication

#endif
