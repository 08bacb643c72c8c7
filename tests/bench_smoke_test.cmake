# Runs the programs of the scale bench with small sizes, for correctness only: each checks that every message has
# ended once or is held and that the counts add up, and fails where they do not. Nothing is timed.
set(results ${WORK_DIR}/bench_smoke.jsonl)
file(REMOVE ${results})
function(must)
    execute_process(COMMAND ${ARGV} RESULT_VARIABLE code OUTPUT_VARIABLE output ERROR_VARIABLE errors)
    if(NOT code EQUAL 0)
        message(FATAL_ERROR "failed with ${code}: ${ARGV}\n${output}${errors}")
    endif()
    set(output ${output} PARENT_SCOPE)
endfunction()

must(${SENDER_BENCH} --small --json_lines=${results})
must(${FLEET_SCALE} --small --json_lines=${results})

# Each case has left a line with figures, and the table shows each bench.
file(STRINGS ${results} lines)
foreach(line IN LISTS lines)
    if(NOT line MATCHES "\"figures\":{")
        message(FATAL_ERROR "a case without figures: ${line}")
    endif()
endforeach()
must(${SCALE_TABLE} ${results})
foreach(bench list_whole list_repeated list_change steady steady_held held_heap one_more timer_sweep take_on
              fleet_down fleet_back fleet_listed fleet_listed_alone)
    if(NOT output MATCHES "\\(${bench}\\)")
        message(FATAL_ERROR "the table lacks ${bench}")
    endif()
endforeach()
