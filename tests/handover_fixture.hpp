/// A test fixture that replaces a running process: two real processes share one folder and one listening
/// socket.
#pragma once

#include "node_fixture.hpp"

namespace lockgw {

class HandoverTest : public NodeTest {
protected:
    HandoverTest() : old_management(node.other_address()), new_management(node.other_address()) {
        node.open_inherited_listener();
        node.config()["management"] = text_of(old_management);
        node.config()["settings"]["family_info"]["slots"] = 1;
    }

    void start_replacement() {
        node.start_successor(new_management);
        ASSERT_TRUE(wait_until_ready(new_management)) << node.log();
    }
    void stop_predecessor() {
        ::kill(node.previous_pid(), SIGTERM);
        const int status = node.wait_for_previous();
        EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    }
    static std::string message_id(const Exchange& exchange) { return exchange.header("X-Call-Id"); }

    Tcp::endpoint old_management, new_management;
    const std::string second = "00000000000000a2", third = "00000000000000a3";
};

}  // namespace lockgw
