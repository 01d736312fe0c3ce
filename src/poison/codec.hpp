// Notices as msgpack frames.
#ifndef YUCCAFALL_POISON_CODEC_HPP
#define YUCCAFALL_POISON_CODEC_HPP

#include <string>
#include <string_view>

#include "core/error.hpp"
#include "poison/suspect_list.hpp"

namespace yuccafall::poison {

std::string encode(notice const& it);

// Fails with bad_frame for anything that encode does not make.
core::result<notice> decode(std::string_view frame);

} // namespace yuccafall::poison

#endif
