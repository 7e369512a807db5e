// An event loop on a named thread.

#include "transport/iothread.h"

#include <boost/asio/post.hpp>

#include <pthread.h>

#include <utility>

namespace kumquat::transport {

IoThread::IoThread()
  : context(1)
  , work(boost::asio::make_work_guard(this->context))
{
}

IoThread::~IoThread()
{
  this->Stop();
}

void IoThread::Start(std::string aName)
{
  this->thread = std::thread([this, name = std::move(aName)] {
    pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
    this->context.run();
  });
}

void IoThread::Stop()
{
  this->work.reset();
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void IoThread::Post(std::function<void()> aWork)
{
  boost::asio::post(this->context, std::move(aWork));
}

} // namespace kumquat::transport
