/// Test fixture that runs the program between stub peers, with the fault shim loaded before the C library.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>

#include "fault_control.hpp"
#include "node_fixture.hpp"

namespace lockgw {

/// The fault control block in a shared file that is mapped into this process. A program follows it if
/// FAULT_CONTROL names the file in its environment.
class SharedFaultControl {
public:
    SharedFaultControl() : path_(folder_.path() / "faults") {
        const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd < 0 || ::ftruncate(fd, sizeof(fault::Control)) != 0)
            throw std::runtime_error("cannot create the fault control file");
        void* memory = ::mmap(nullptr, sizeof(fault::Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        if (memory == MAP_FAILED) throw std::runtime_error("cannot map the fault control file");
        control_ = new (memory) fault::Control;
    }
    SharedFaultControl(const SharedFaultControl&) = delete;
    SharedFaultControl& operator=(const SharedFaultControl&) = delete;
    ~SharedFaultControl() { ::munmap(control_, sizeof(fault::Control)); }

    std::string path() const { return path_.string(); }
    fault::Control& operator*() { return *control_; }
    fault::Control* operator->() { return control_; }

    /// From now on the first `skip` matching calls are executed and the next `times` calls fail.
    struct Fault {
        fault::Call call = fault::Call::None;
        std::int32_t error = 0;
        std::int64_t skip = 0, times = 1;
        fault::Peer peer = fault::Peer::Any;
        std::int64_t detail = 0;
        std::uint32_t port = 0;
    };
    void arm(std::size_t rule, const Fault& fault) {
        fault::Rule& armed_rule = control_->rules.at(rule);
        armed_rule.call = fault::Call::None;
        armed_rule.error = fault.error;
        armed_rule.skip = fault.skip;
        armed_rule.times = fault.times;
        armed_rule.peer = fault.peer;
        armed_rule.detail = fault.detail;
        armed_rule.port = fault.port;
        armed_rule.seen = 0;
        armed_rule.hits = 0;
        armed_rule.call = fault.call;
    }
    std::int64_t hits(std::size_t rule) const { return control_->rules.at(rule).hits; }

private:
    TemporaryFolder folder_;
    std::filesystem::path path_;
    fault::Control* control_ = nullptr;
};

/// Makes every process of a node run with the shim.
inline void preload_shim(Node& node, const SharedFaultControl& faults) {
    node.set_environment("LD_PRELOAD", FAULT_SHIM_PATH);
    node.set_environment("FAULT_CONTROL", faults.path());
    // The shim precedes the sanitizer's library in the link order. Without this option the sanitizer refuses
    // to start.
    node.set_environment("ASAN_OPTIONS", "verify_asan_link_order=0");
}

class FaultNodeTest : public NodeTest {
protected:
    FaultNodeTest() { preload_shim(node, faults); }
    ~FaultNodeTest() override { node.kill(); }  // before the fault control is unmapped

    /// Returns the first notice to the platform and responds to it. Null if none arrives in time.
    Json first_notice(std::chrono::milliseconds within = 5s) {
        const auto until = Clock::now() + within;
        while (Clock::now() < until) {
            const Exchange exchange = discovery_stub.next(within);
            if (exchange.request.target() != "/reports") {
                watches.push_back(exchange);
                continue;
            }
            exchange.respond(204);
            return notices(exchange)[0];
        }
        return nullptr;
    }

    template <class Condition>
    static bool wait_until(Condition condition, std::chrono::milliseconds within = kDeadline) {
        const auto until = Clock::now() + within;
        while (!condition()) {
            if (Clock::now() > until) return false;
            std::this_thread::sleep_for(2ms);
        }
        return true;
    }

    SharedFaultControl faults;
};

}  // namespace lockgw
