#include "Store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace lab {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t pageItems = 500;
    constexpr int expiryCheckMs = 20;

    const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    std::int64_t lastNumber(const std::string& path) { return std::stoll(path.substr(path.rfind('/') + 1)); }

} // namespace

std::string encodeBase64(const std::string& bytes)
{
    std::string out;
    for (std::size_t start = 0; start < bytes.size(); start += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - start);
        for (std::size_t index = 0; index < 3; ++index)
            group = (group << 8) | (index < count ? static_cast<unsigned char>(bytes[start + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            out += index <= count ? alphabet[(group >> (18 - 6 * index)) & 63U] : '=';
    }
    return out;
}

std::string decodeBase64(const std::string& text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char character : text) {
        const std::size_t value = alphabet.find(character);
        if (value == std::string::npos)
            break;
        group = (group << 6) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((group >> bits) & 255U);
        }
    }
    return out;
}

Store::Store()
{
    std::thread([this] {
        while (true) {
            sleepMs(expiryCheckMs);
            expireLeases();
        }
    }).detach();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    write(key, { encodeBase64(value), 0, 0, 0 });
    changed_.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    erase(key);
    changed_.notify_all();
}

std::string Store::get(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? "" : decodeBase64(found->second.value);
}

void Store::write(const std::string& key, const Item& item)
{
    Item& stored = items_[key];
    const std::int64_t created = stored.created == 0 ? revision_ : stored.created;
    stored = { item.value, revision_, created, item.lease };
    history_.push_back({ key, revision_, false, stored });
}

void Store::erase(const std::string& key)
{
    if (items_.erase(key) > 0)
        history_.push_back({ key, revision_, true, {} });
}

void Store::endLease(std::int64_t lease)
{
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++revision_;
    for (const std::string& key : keys)
        erase(key);
    changed_.notify_all();
}

void Store::expireLeases()
{
    const std::lock_guard lock(mutex_);
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (monotonicMs() >= lease.endsAt)
            ended.push_back(id);
    }
    for (const std::int64_t id : ended)
        endLease(id);
}

std::string Store::itemJson(const std::string& key, const Item& item) const
{
    return Json({ { "Key", key }, { "Value", item.value }, { "Revision", item.revision }, { "Created", item.created },
                    { "Lease", item.lease }, { "CurrentRev", revision_ } })
        .dump();
}

Response Store::handle(const Request& request)
{
    static const std::string root = "/rosemarylink/kv-";
    if (!startsWith(request.path, root))
        return { 404, "{}" };
    const std::string kind = request.path.substr(root.size());
    if (kind == "watch")
        return watch(request);
    const std::lock_guard lock(mutex_);
    if (kind == "key")
        return read(request);
    if (kind == "range")
        return list(request);
    if (kind == "txn")
        return commit(request);
    if (kind == "lease")
        return grantLease(request);
    if (startsWith(kind, "keep/"))
        return keepLease(lastNumber(kind));
    if (startsWith(kind, "lease-end/")) {
        endLease(lastNumber(kind));
        return { 200, "{}" };
    }
    return { 404, "{}" };
}

Response Store::read(const Request& request)
{
    const auto found = items_.find(request.query.at("Key"));
    if (found == items_.end())
        return { 404, Json({ { "CurrentRev", revision_ } }).dump() };
    return { 200, itemJson(found->first, found->second) };
}

Response Store::list(const Request& request)
{
    const std::string& prefix = request.query.at("Prefix");
    const auto after = request.query.find("After");
    Json page = { { "items", Json::array() }, { "HasMore", false }, { "CurrentRev", revision_ } };
    for (auto item = items_.lower_bound(prefix); item != items_.end() && startsWith(item->first, prefix); ++item) {
        if (after != request.query.end() && item->first <= after->second)
            continue;
        if (page["items"].size() >= pageItems) {
            page["HasMore"] = true;
            break;
        }
        page["items"].push_back(Json::parse(itemJson(item->first, item->second)));
    }
    return { 200, page.dump() };
}

Response Store::commit(const Request& request)
{
    const Json body = Json::parse(request.body);
    bool holds = true;
    Json current = Json::array();
    for (const Json& row : body.at("Expected")) {
        const std::string key = row.at("Key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("Revision").get<std::int64_t>();
        current.push_back(found == items_.end() ? Json({ { "Key", key }, { "Revision", 0 } })
                                                : Json::parse(itemJson(key, found->second)));
    }
    if (!holds)
        return { 412, Json({ { "items", current } }).dump() };
    for (const Json& row : body.at("Writes")) {
        const std::int64_t lease = row.value("Lease", std::int64_t(0));
        if (lease != 0 && leases_.count(lease) == 0)
            return { 404, "{}" };
    }
    if (!body.at("Writes").empty() || !body.at("Deletes").empty())
        ++revision_;
    for (const Json& row : body.at("Writes"))
        write(row.at("Key"), { row.at("Value"), 0, 0, row.value("Lease", std::int64_t(0)) });
    for (const Json& key : body.at("Deletes"))
        erase(key);
    changed_.notify_all();
    return { 200, Json({ { "Revision", revision_ } }).dump() };
}

Response Store::grantLease(const Request& request)
{
    const std::int64_t ttl = Json::parse(request.body).at("TtlMs");
    leases_[++lastLease_] = { ttl, monotonicMs() + ttl };
    return { 200, Json({ { "Lease", lastLease_ }, { "TtlMs", ttl } }).dump() };
}

Response Store::keepLease(std::int64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return { 404, "{}" };
    found->second.endsAt = monotonicMs() + found->second.ttlMs;
    return { 200, Json({ { "TtlMs", found->second.ttlMs } }).dump() };
}

Response Store::watch(const Request& request)
{
    const std::string& prefix = request.query.at("Prefix");
    const std::int64_t after = std::stoll(request.query.at("After"));
    const auto endAt
        = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(request.query.at("WaitMs")));
    std::unique_lock lock(mutex_);
    std::vector<Json> events;
    const auto collect = [&] {
        for (auto event = history_.rbegin(); event != history_.rend() && event->revision > after; ++event) {
            if (!startsWith(event->key, prefix))
                continue;
            if (event->deleted)
                events.push_back({ { "Key", event->key }, { "Revision", event->revision }, { "Deleted", true } });
            else
                events.push_back(Json::parse(itemJson(event->key, event->item)));
        }
        return !events.empty();
    };
    changed_.wait_until(lock, endAt, collect);
    std::reverse(events.begin(), events.end());
    return { 200, Json({ { "events", events }, { "CurrentRev", revision_ } }).dump() };
}

} // namespace lab
