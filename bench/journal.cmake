# What the journal and the list of targets cost, in their own units and in the event loop of a whole forwarder.

add_executable(journal_bench ${CMAKE_CURRENT_LIST_DIR}/journal_bench.cpp)
target_link_libraries(journal_bench PRIVATE lockgw_net benchmark::benchmark)

add_executable(list_bench ${CMAKE_CURRENT_LIST_DIR}/list_bench.cpp)
target_link_libraries(list_bench PRIVATE lockgw_net benchmark::benchmark)
