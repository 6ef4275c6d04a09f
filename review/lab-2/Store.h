#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lab {

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text);

// The platform's metadata store: items, leases, transactions and watches. It keeps all of its history.
class Store {
public:
    Store();

    // Serves a call of the kv interface.
    Response handle(const Request&);

    // Write and remove as the operator or a worker does.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Returns the value; empty if the key is absent.
    std::string get(const std::string& key);

private:
    struct Item {
        std::string value; // base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
        Item item;
    };
    struct Lease {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    // All of them need the lock.
    void write(const std::string& key, const Item&);
    void erase(const std::string& key);
    void endLease(std::int64_t lease);
    Response read(const Request&);
    Response list(const Request&);
    Response commit(const Request&);
    Response grantLease(const Request&);
    Response keepLease(std::int64_t lease);
    std::string itemJson(const std::string& key, const Item&) const;

    Response watch(const Request&);
    void expireLeases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 100;
    std::map<std::string, Item> items_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<Event> history_;
};

} // namespace lab
