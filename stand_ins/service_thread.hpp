// An io_context with a thread of its own, for stand-ins that run inside a test
// or a measure.
#ifndef YUCCAFALL_STAND_INS_SERVICE_THREAD_HPP
#define YUCCAFALL_STAND_INS_SERVICE_THREAD_HPP

#include <future>
#include <thread>
#include <type_traits>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace yuccafall::stand_ins {

class service_thread
{
public:
    service_thread()
        : work_(context_.get_executor()), thread_([this] { context_.run(); })
    {}
    service_thread(service_thread const&) = delete;
    service_thread& operator=(service_thread const&) = delete;
    ~service_thread() { stop(); }

    boost::asio::io_context& context() { return context_; }

    // Runs the function on the thread and returns its result.
    template <class Function>
    std::invoke_result_t<Function> ask(Function function)
    {
        using result = std::invoke_result_t<Function>;
        auto task =
            std::make_shared<std::packaged_task<result()>>(std::move(function));
        auto done = task->get_future();
        boost::asio::post(context_, [task] { (*task)(); });
        return done.get();
    }

    void stop()
    {
        if (thread_.joinable())
        {
            context_.stop();
            thread_.join();
        }
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    std::thread thread_;
};

} // namespace yuccafall::stand_ins

#endif
