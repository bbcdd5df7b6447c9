/// Client of the platform's HTTP interface, which both the stand-in and the users' platform offer.
#pragma once

#include "libraries/net/http_client.hpp"
#include "libraries/platform/platform.hpp"

namespace burdockstep {

/// Implements the platform's three interfaces with HTTP and JSON. Each call fails after `timeout`.
class http_platform final : public table_service, public object_store, public instance_list
{
public:
    http_platform(http_client& client, address platform_address, duration timeout);

    void read(std::string const& key,
              std::function<void(store_status, std::optional<table_row>)> handler) override;
    void
    scan_descending(std::string const& prefix, std::string const& before, std::size_t limit,
                    std::function<void(store_status, std::vector<table_row>)> handler) override;
    void commit(table_transaction const& transaction,
                std::function<void(store_status)> handler) override;

    void put(digest const& name, std::string const& bytes,
             std::function<void(store_status)> handler) override;
    void get(digest const& name,
             std::function<void(store_status, std::optional<std::string>)> handler) override;

    void read(std::function<void(store_status, instance_list_snapshot)> handler) override;

private:
    void send_request(std::string method, std::string path, std::string body,
                      std::function<void(store_status, http_client::fetch_result)> handler);

    http_client& client_;
    address platform_address_;
    duration timeout_;
};

} // namespace burdockstep
