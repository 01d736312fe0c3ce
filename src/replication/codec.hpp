// Messages of replication as msgpack frames.
#ifndef YUCCAFALL_REPLICATION_CODEC_HPP
#define YUCCAFALL_REPLICATION_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "replication/messages.hpp"

namespace yuccafall::replication {

std::string encode(message const& it);

// Fails with bad_frame for anything that encode does not make.
core::result<message> decode(std::string_view frame);

} // namespace yuccafall::replication

#endif
