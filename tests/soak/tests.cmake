add_tests(soak gooseberryfall_soak_run)
# Short runs of the soak itself, with fixed seeds. Those with an even seed have one instance that is
# larger than the others.
foreach(seed 1 2)
    add_test(NAME soak_short_run_${seed} COMMAND gooseberryfall-soak --seed=${seed} --seconds=10
        --daemon=$<TARGET_FILE:gooseberryfall-platform> --folder=${CMAKE_CURRENT_BINARY_DIR}/soak-logs)
    set_tests_properties(soak_short_run_${seed} PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)
endforeach()
