add_tests(soak gooseberryfall_soak_run)
# A short run of the soak itself, with a fixed seed.
add_test(NAME soak_short_run COMMAND gooseberryfall-soak --seed=1 --seconds=10
    --daemon=$<TARGET_FILE:gooseberryfall-platform> --folder=${CMAKE_CURRENT_BINARY_DIR}/soak-logs)
set_tests_properties(soak_short_run PROPERTIES RUN_SERIAL TRUE TIMEOUT 120)
