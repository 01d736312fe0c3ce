// Encodes notices of crashes and of completions as msgpack frames and decodes
// them.
#ifndef YUCCAFALL_POISON_CODEC_HPP
#define YUCCAFALL_POISON_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::poison {

std::string encode(notice const& it);

// Fails with bad_frame if the frame is not one that encode() produces.
core::result<notice> decode(std::string_view frame);

} // namespace yuccafall::poison

#endif
