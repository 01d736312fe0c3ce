// Encodes messages between nodes as msgpack frames and decodes them.
#ifndef YUCCAFALL_PEERS_CODEC_HPP
#define YUCCAFALL_PEERS_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "peers/messages.hpp"

namespace yuccafall::peers {

std::string encode(message const& it);

// Fails with bad_frame if the frame is not one that encode() can produce.
core::result<message> decode(std::string_view frame);

} // namespace yuccafall::peers

#endif
