// Compresses large values that nodes send to each other. When the value that
// the receiver already holds serves as reference, the compressed frame is about
// as long as the difference between the two values.
#ifndef YUCCAFALL_REPLICATION_COMPRESSION_HPP
#define YUCCAFALL_REPLICATION_COMPRESSION_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"

namespace yuccafall::replication {

// `reference` is either empty or a value that the receiver holds.
core::result<std::string> compress(std::string_view value,
                                   std::string_view reference);

// Fails if the frame was compressed with another reference, or if its value is
// more than four times as long as the longest value of the platform's store.
core::result<std::string> decompress(std::string_view frame,
                                     std::string_view reference);

} // namespace yuccafall::replication

#endif
