add_tests(platform gooseberryfall_platform)
target_compile_definitions(platform_http_platform_test PRIVATE
    PLATFORM_STAND_IN="$<TARGET_FILE:platform_stand_in>")
add_dependencies(platform_http_platform_test platform_stand_in)
