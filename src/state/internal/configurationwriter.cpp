// One change of the configuration, step by step.

#include "state/configurationwriter.h"

#include <algorithm>
#include <utility>

namespace kumquat::state {

using protocol::ErrorKind;
using protocol::Outcome;

struct ConfigurationWriter::Pending
{
  std::string text;
  ConfigurationHead head;
  Done done;
};

ConfigurationWriter::ConfigurationWriter(Hooks aHooks)
  : ConfigurationWriter(std::move(aHooks), Rules())
{
}

ConfigurationWriter::ConfigurationWriter(Hooks aHooks, Rules aRules)
  : hooks(std::move(aHooks))
  , rules(aRules)
{
}

void ConfigurationWriter::Change(std::string aText, Version aExpected,
                                 Done aDone) const
{
  CheckedConfiguration checked = ParseConfiguration(aText);
  if (auto* faults = std::get_if<std::vector<TextFault>>(&checked)) {
    aDone({ .error = ErrorKind::kInvalidConfiguration,
            .outcome = Outcome::kNotRun,
            .faults = std::move(*faults) });
    return;
  }
  const ConfigurationHead head{ aExpected + 1, ConfigurationObjectName(aText) };
  const auto change = std::make_shared<const Pending>(
    Pending{ std::move(aText), head, std::move(aDone) });
  // The text is stored before its name is in the table: a head that names
  // nothing would leave every new host without a configuration.
  this->hooks.putObject(
    change->head.object, change->text, [this, change](std::error_code aError) {
      if (aError) {
        change->done({ .error = ErrorKind::kStoreUnavailable,
                       .outcome = Outcome::kNotRun });
        return;
      }
      this->WriteHead(change);
    });
}

void ConfigurationWriter::WriteHead(const PendingPtr& aChange) const
{
  ConditionalWrite write = ToWrite(aChange->head);
  write.row.nonce = this->hooks.nonce();
  if (!this->rules.tableDecides) {
    this->hooks.accepted(aChange->head.version, aChange->text);
  }
  this->hooks.table.write({ std::move(write) },
                          [this, aChange](WriteOutcome aOutcome) {
                            this->TakeOutcome(aChange, aOutcome);
                          });
}

void ConfigurationWriter::TakeOutcome(const PendingPtr& aChange,
                                      WriteOutcome aOutcome) const
{
  switch (aOutcome) {
    case WriteOutcome::kWritten:
      this->Accept(aChange);
      return;
    case WriteOutcome::kConflict:
      this->ReportConflict(aChange);
      return;
    case WriteOutcome::kUnknown:
    case WriteOutcome::kRefused:
      aChange->done({ .error = ErrorKind::kStoreUnavailable,
                      .outcome = Outcome::kUnknown });
      return;
  }
}

// An operator whose answer was lost sends the same change again. It must not
// be told of a conflict with itself, or a half-informed second edit follows:
// where the head has this very text as the next version, the change is in.
void ConfigurationWriter::ReportConflict(const PendingPtr& aChange) const
{
  this->hooks.table.query(
    std::string(kConfigurationPartition),
    [this, aChange](const Result<std::vector<Row>>& aRows) {
      ChangeResult conflict{ .error = ErrorKind::kConflict,
                             .outcome = Outcome::kNotRun };
      if (aRows.has_error()) {
        aChange->done(std::move(conflict));
        return;
      }
      const auto row = std::ranges::find(*aRows, kHeadName, &Row::name);
      const Result<ConfigurationHead> head =
        row == aRows->end() ? ConfigurationHead() : HeadFromRow(*row);
      if (head && head->version == aChange->head.version &&
          head->object == aChange->head.object) {
        this->Accept(aChange);
        return;
      }
      conflict.version = head ? head->version : 0;
      aChange->done(std::move(conflict));
    });
}

void ConfigurationWriter::Accept(const PendingPtr& aChange) const
{
  this->hooks.accepted(aChange->head.version, aChange->text);
  aChange->done({ .version = aChange->head.version });
}

} // namespace kumquat::state
