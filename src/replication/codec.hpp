// Encodes replication messages as msgpack frames and decodes them.
#ifndef YUCCAFALL_REPLICATION_CODEC_HPP
#define YUCCAFALL_REPLICATION_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "replication/messages.hpp"

namespace yuccafall::replication {

std::string encode(message const& it);

// Fails with bad_frame for any input that encode() cannot produce.
core::result<message> decode(std::string_view frame);

} // namespace yuccafall::replication

#endif
