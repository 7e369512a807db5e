// The account of held bytes.

#include "transport/byteaccount.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquat::transport {

namespace {

// Bodies up to this size may use the whole bound.
constexpr std::size_t kSmallBodyBytes = 16U << 10U;
// Larger ones may use all but this part of it.
constexpr std::size_t kSmallBodiesPart = 4;

} // namespace

std::string_view BytePurposeName(BytePurpose aPurpose)
{
  switch (aPurpose) {
    case BytePurpose::kRequest:
      return "request";
    case BytePurpose::kResponse:
      return "response";
  }
  return "unknown";
}

ByteAccount::Reservation::Reservation(std::shared_ptr<ByteAccount> aAccount,
                                      BytePurpose aPurpose)
  : account(std::move(aAccount))
  , purpose(aPurpose)
{
}

ByteAccount::Reservation::~Reservation()
{
  static_cast<void>(this->account->TryChange(this->purpose, this->bytes, 0));
}

bool ByteAccount::Reservation::GrowTo(std::size_t aBytes)
{
  if (aBytes <= this->bytes) {
    return true;
  }
  if (!this->account->TryChange(this->purpose, this->bytes, aBytes)) {
    return false;
  }
  this->bytes = aBytes;
  return true;
}

ByteAccount::ByteAccount(std::size_t aBound)
  : bound(aBound)
{
}

std::shared_ptr<ByteAccount> ByteAccount::Create(std::size_t aBound)
{
  return std::shared_ptr<ByteAccount>(new ByteAccount(aBound));
}

ByteAccount::ReservationPtr ByteAccount::Open(BytePurpose aPurpose)
{
  return std::make_shared<Reservation>(this->shared_from_this(), aPurpose);
}

ByteAccount::Use& ByteAccount::UseOf(BytePurpose aPurpose)
{
  return this->uses.at(static_cast<std::size_t>(aPurpose));
}

const ByteAccount::Use& ByteAccount::UseOf(BytePurpose aPurpose) const
{
  return this->uses.at(static_cast<std::size_t>(aPurpose));
}

std::size_t ByteAccount::Held(BytePurpose aPurpose) const
{
  return this->UseOf(aPurpose).held;
}

std::size_t ByteAccount::Held() const
{
  return std::accumulate(
    this->uses.begin(), this->uses.end(), std::size_t{ 0 },
    [](std::size_t aSum, const Use& aUse) { return aSum + aUse.held; });
}

std::size_t ByteAccount::Refusals(BytePurpose aPurpose) const
{
  return this->UseOf(aPurpose).refusals;
}

bool ByteAccount::TryChange(BytePurpose aPurpose, std::size_t aOld,
                            std::size_t aNew)
{
  Use& use = this->UseOf(aPurpose);
  const std::size_t limit = aNew <= kSmallBodyBytes
                              ? this->bound
                              : this->bound - this->bound / kSmallBodiesPart;
  const std::size_t others = this->Held() - aOld;
  if (aNew > aOld && (aNew > limit || others > limit - aNew)) {
    ++use.refusals;
    return false;
  }
  use.held += aNew;
  use.held -= aOld;
  this->peak = std::max(this->peak, this->Held());
  return true;
}

} // namespace kumquat::transport
