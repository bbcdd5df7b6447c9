/// Follows the platform's store: directives, registrations, entries.
#pragma once

#include "services/burdockstep_gateway/discovery/directives_reader.hpp"
#include "services/burdockstep_gateway/discovery/entries_reader.hpp"
#include "services/burdockstep_gateway/discovery/registrations_reader.hpp"
#include "services/burdockstep_gateway/discovery/store_contact.hpp"
#include "services/burdockstep_gateway/task.hpp"

#include "libraries/core/log.hpp"

#include <set>

namespace burdockstep::gateway {

/// Owns the readers of the store and decides whether this entry follows it: two entries do, for all
/// the others, and so does each that hears nothing from those two.
class discovery_task final : public task
{
public:
    discovery_task(gateway_context& context, discovery_store& source);

    std::string_view name() const override { return "discovery"; }
    result<void> try_start() override;
    void receive(event const& what) override;
    void write_metrics(std::string& out) const override;

private:
    void take_evacuations(std::set<place_name> const& evacuated);
    void take_news(wire::registry_update_message const& news);
    void tell(std::vector<wire::registry_update_message> pieces);
    void tell_directives();
    void set_reading_for_others(bool reads);
    void set_hears_readers(bool hears);
    void update_following();

    gateway_context& context_;
    logger log_{"discovery"};
    store_contact contact_;
    directives_reader directives_;
    registrations_reader registrations_;
    entries_reader entries_;
    registry_update_assembler assembler_;
    bool reads_for_others_ = true;
    bool hears_readers_ = false;
    std::uint64_t news_taken_ = 0;
};

} // namespace burdockstep::gateway
