#include "rosemarylink/reactor/TaskInbox.h"

#include "rosemarylink/base/Log.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace rosemarylink::reactor {

namespace {

    const Logger logger("loop");

} // namespace

class TaskInbox::Receiver final : public SocketHandler {
public:
    Receiver(TaskInbox& inbox, const Poco::Net::StreamSocket& socket)
        : inbox_(inbox)
        , socket_(socket)
    {
    }

    const Poco::Net::StreamSocket& socket() const { return socket_; }

    void onReadable() override
    {
        std::array<char, 256> wakeUps {};
        while (::recv(socket_.impl()->sockfd(), wakeUps.data(), wakeUps.size(), MSG_DONTWAIT) > 0) { }
        std::vector<EventLoop::Task> tasks;
        {
            const std::lock_guard lock(inbox_.mutex_);
            tasks.swap(inbox_.tasks_);
        }
        for (const EventLoop::Task& task : tasks) {
            try {
                task();
            } catch (const std::exception& problem) {
                logger.error("Posted task threw an exception", { { "reason", problem.what() } });
            }
        }
    }
    void onWritable() override { }

private:
    TaskInbox& inbox_;
    Poco::Net::StreamSocket socket_;
};

TaskInbox::TaskInbox(EventLoop& loop)
    : loop_(loop)
{
    std::array<int, 2> sockets {};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, sockets.data()) != 0)
        throw Poco::Net::NetException("cannot create a pair of sockets", errno);
    sender_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(sockets[0]));
    receiver_ = std::make_shared<Receiver>(*this, Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(sockets[1])));
    loop_.watch(receiver_->socket(), false, receiver_);
}

TaskInbox::~TaskInbox() { loop_.unwatch(receiver_->socket()); }

void TaskInbox::post(EventLoop::Task task)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    // Of several tasks that wait only the first has to wake the loop. A full socket holds wake-ups enough.
    if (first && ::send(sender_.impl()->sockfd(), "", 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 && errno != EAGAIN)
        logger.error("Event loop was not woken for a task", { { "errno", errno } });
}

} // namespace rosemarylink::reactor
