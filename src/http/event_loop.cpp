#include "http/event_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cassert>
#include <future>

namespace gooseberryfall::http {

namespace {

namespace asio = boost::asio;

class timer_task : public scheduled_task {
public:
    timer_task(asio::io_context& context, std::function<void()> task)
        : timer_(context), task_(std::move(task))
    {
    }

    void cancel() override { cancelled_ = true; }

    /// Must be called on the loop's thread.
    static void start(const std::shared_ptr<timer_task>& self,
                      std::chrono::steady_clock::time_point when)
    {
        self->timer_.expires_at(when);
        self->timer_.async_wait([self](const boost::system::error_code& error) {
            const std::function<void()> task = std::move(self->task_);
            if (!error && !self->cancelled_) {
                task();
            }
        });
    }

private:
    asio::steady_timer timer_;
    std::function<void()> task_;
    std::atomic<bool> cancelled_{false};
};

} // namespace

event_loop::event_loop(const std::string& thread_name)
    : context_(std::make_unique<asio::io_context>(1))
{
    thread_ = std::make_unique<kernel::worker_thread>(
        thread_name, [context = context_.get()](const std::stop_token& stop) {
            const auto guard = asio::make_work_guard(*context);
            const std::stop_callback on_stop(stop, [context] { context->stop(); });
            context->run();
        });
}

event_loop::~event_loop()
{
    assert(!is_current());
    thread_.reset();
}

void event_loop::post(std::function<void()> task)
{
    asio::post(*context_, std::move(task));
}

std::shared_ptr<scheduled_task> event_loop::post_after(std::chrono::steady_clock::duration delay,
                                                       std::function<void()> task)
{
    const auto when = std::chrono::steady_clock::now() + delay;
    auto scheduled = std::make_shared<timer_task>(*context_, std::move(task));
    asio::post(*context_, [scheduled, when] { timer_task::start(scheduled, when); });
    return scheduled;
}

void event_loop::run_and_wait(const std::function<void()>& task)
{
    if (is_current()) {
        task();
        return;
    }
    std::promise<void> done;
    post([&task, &done] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

bool event_loop::is_current() const
{
    return thread_->is_current();
}

} // namespace gooseberryfall::http
