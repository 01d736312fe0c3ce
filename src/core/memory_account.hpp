// The memory that a node holds for others, divided into parts that cannot take
// each other's.
#ifndef YUCCAFALL_CORE_MEMORY_ACCOUNT_HPP
#define YUCCAFALL_CORE_MEMORY_ACCOUNT_HPP

#include <memory>

#include "core/memory_part.hpp"

namespace yuccafall::core {

struct memory_account
{
    // Callers' requests, including those that are still arriving.
    std::shared_ptr<memory_part> requests;
    // Responses that callers have not taken yet, and what is reserved for those
    // that have not arrived.
    std::shared_ptr<memory_part> responses;
    // Responses that are arriving from the worker beside the node.
    std::shared_ptr<memory_part> worker_responses;
    // Frames between nodes that are queued or being received, for calls.
    std::shared_ptr<memory_part> frames;
    // The parts above are used on the traffic thread, those below on the
    // control thread.
    std::shared_ptr<memory_part> control_frames;
    // Requests and responses of operators.
    std::shared_ptr<memory_part> operators;
    // Requests at the readiness endpoint.
    std::shared_ptr<memory_part> readiness;
};

} // namespace yuccafall::core

#endif
