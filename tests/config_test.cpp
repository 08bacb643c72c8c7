#include "net/config.hpp"

#include <gtest/gtest.h>

#include "net/client_server.hpp"
#include "net_helpers.hpp"

namespace lockgw {
namespace {

TEST(Config, ReadsAllFields) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    EXPECT_EQ(config.listen.port(), 6379);
    EXPECT_EQ(config.discovery.address().to_string(), "127.0.0.1");
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
    EXPECT_EQ(config.disk_bytes, 3u << 20);
    EXPECT_EQ(config.names.classes.at("unsafe"), 2u);
    EXPECT_EQ(config.settings.classes[1].dedup_window, std::chrono::seconds(4));
    EXPECT_EQ(config.connect_timeout, std::chrono::milliseconds(1000));
}

TEST(Config, ReadsZoneCosts) {
    Json file = make_config("127.0.0.4:6379", "127.0.0.1:8500");
    EXPECT_TRUE(read_config(file).settings.zone_costs.empty());
    file["settings"]["localities"] = {"a", "b"};
    file["settings"]["family_info"]["carriage"] = {0.0, 0.03};
    const Config previous = read_config(file);
    EXPECT_EQ(previous.settings.zone_costs, (std::vector<double>{0.0, 0.03}));
    // the module identifies zones by index, so that a zone keeps its index in a later file
    file["settings"]["localities"] = {"c", "b", "a"};
    file["settings"]["family_info"]["carriage"] = {0.5, 0.03, 0.0};
    EXPECT_EQ(read_config(file, &previous).settings.zone_costs, (std::vector<double>{0.0, 0.03, 0.5}));
}

TEST(Config, RejectsInvalidFields) {
    const auto with_field = [](const char* pointer, const Json& value) {
        Json file = make_config("127.0.0.4:6379", "127.0.0.1:8500");
        file[Json::json_pointer(pointer)] = value;
        return file;
    };
    EXPECT_THROW(read_config(with_field("/listen", "6379")), std::exception);
    EXPECT_THROW(read_config(with_field("/listen", "host.example:1")), std::exception);
    EXPECT_THROW(read_config(with_field("/discovery", "127.0.0.1:99999")), std::exception);
    EXPECT_THROW(read_config(with_field("/seed", "xyz")), std::exception);
    EXPECT_THROW(read_config(with_field("/limits/sockets", 3)), std::exception);
    EXPECT_THROW(read_config(with_field("/limits/disk_mb", -1)), std::exception);
    EXPECT_THROW(read_config(with_field("/settings/classes", nullptr)), std::exception);
    EXPECT_THROW(read_config(Json::object()), std::exception);
}

TEST(Enqueue, ParsesMessage) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    cometspoke::Time left{0};
    const resp::Command command{
        "ENQUEUE", "0", "9b1f03aa5c7e2d41", "c=keyed,t=acme,d=8000,k=5c0f,dest=7,again=1", "BODY"};
    const Message message = message_of(command, config, PersistentTime{}, left);
    EXPECT_EQ(message.id, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(message.key, "5c0f");
    EXPECT_EQ(message.destination, 7);
    EXPECT_EQ(left, std::chrono::milliseconds(8000));
    EXPECT_EQ(message.deadline, PersistentTime{} + std::chrono::milliseconds(8000));
    EXPECT_EQ(message.body, "BODY");
}

TEST(Enqueue, ParsesOrderKeyOfSequentialClass) {
    Json fields = make_config("127.0.0.4:6379", "127.0.0.1:8500");
    fields["settings"]["classes"][0]["sequential"] = true;
    const Config config = read_config(fields);
    const auto order_key = [&config](const std::string& key, const std::string& pairs) {
        cometspoke::Time left{0};
        return message_of({"ENQUEUE", key, "9b1f03aa5c7e2d41", pairs, ""}, config, PersistentTime{}, left)
            .order_key;
    };
    const std::string sequential_pairs = "c=safe,t=acme,d=8000,dest=7";
    EXPECT_EQ(order_key("0006483caaef320d", sequential_pairs), 0x0006483caaef320du);
    EXPECT_EQ(order_key("0000000000000000", sequential_pairs), std::nullopt);
    EXPECT_EQ(order_key("0006483caaef320d", "c=keyed,t=acme,d=8000,dest=7,k=1"), std::nullopt);
    for (const char* malformed : {"", "xyz", "-1", "00006483caaef320d"})
        EXPECT_THROW(order_key(malformed, sequential_pairs), cometspoke::settings::InvalidInput) << malformed;
}

TEST(Enqueue, RejectsMalformedFields) {
    const Config config = read_config(make_config("127.0.0.4:6379", "127.0.0.1:8500"));
    const auto expect_rejected = [&config](const std::string& id, const std::string& pairs) {
        cometspoke::Time left{0};
        EXPECT_THROW(message_of({"ENQUEUE", "0", id, pairs, ""}, config, PersistentTime{}, left),
            cometspoke::settings::InvalidInput)
            << pairs;
    };
    const std::string id = "9b1f03aa5c7e2d41";
    expect_rejected("9b1f", "c=safe,t=acme,d=8000,dest=7");
    expect_rejected("9B1F03AA5C7E2D41", "c=safe,t=acme,d=8000,dest=7");
    for (const char* pairs : {"", "c=safe", "c=odd,t=acme,d=8000,dest=7", "c=safe,t=odd,d=8000,dest=7",
             "c=safe,t=acme,d=x,dest=7", "c=safe,t=acme,d=nan,dest=7", "c=safe,t=acme,d=-1,dest=7",
             "c=safe,t=acme,d=1e300,dest=7", "c=safe,t=acme,d=8000,dest=7.5", "c=safe,t=acme,d=8000",
             "c=keyed,t=acme,d=8000,dest=7", "c=keyed,t=acme,d=8000,dest=7,k=a\r\nb", "c=safe,,"})
        expect_rejected(id, pairs);
}

}  // namespace
}  // namespace lockgw
