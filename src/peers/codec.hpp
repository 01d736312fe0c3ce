// Messages as msgpack frames.
#ifndef YUCCAFALL_PEERS_CODEC_HPP
#define YUCCAFALL_PEERS_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "peers/messages.hpp"

namespace yuccafall::peers {

std::string encode(message const& it);

// Fails with bad_frame for anything that encode does not make.
core::result<message> decode(std::string_view frame);

} // namespace yuccafall::peers

#endif
