// An io_context that runs on a thread of its own. The fake servers use it to
// run inside a test or a benchmark.
#ifndef YUCCAFALL_STAND_INS_IO_CONTEXT_THREAD_HPP
#define YUCCAFALL_STAND_INS_IO_CONTEXT_THREAD_HPP

#include <future>
#include <thread>
#include <type_traits>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace yuccafall::stand_ins {

class io_context_thread
{
public:
    io_context_thread()
        : work_guard_(context_.get_executor()),
          thread_([this] { context_.run(); })
    {}
    io_context_thread(io_context_thread const&) = delete;
    io_context_thread& operator=(io_context_thread const&) = delete;
    ~io_context_thread() { stop(); }

    boost::asio::io_context& context() { return context_; }

    // Runs the function on the thread, waits for it and returns its result.
    template <class Function>
    std::invoke_result_t<Function> invoke(Function function)
    {
        using result = std::invoke_result_t<Function>;
        auto task =
            std::make_shared<std::packaged_task<result()>>(std::move(function));
        auto future = task->get_future();
        boost::asio::post(context_, [task] { (*task)(); });
        return future.get();
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
        work_guard_;
    std::thread thread_;
};

} // namespace yuccafall::stand_ins

#endif
