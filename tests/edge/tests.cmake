add_library(edge_test_support STATIC ${CMAKE_CURRENT_LIST_DIR}/edge_deployment.cpp)
target_include_directories(edge_test_support PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(edge_test_support PUBLIC gooseberryfall_adapter gooseberryfall_platform_stand_ins
    Boost::json)
add_tests(edge edge_test_support)
# The page that lists the metrics.
target_compile_definitions(edge_edge_node_test PRIVATE SOURCE_ROOT="${PROJECT_SOURCE_DIR}")
# Several instances for each test: beside other programs their threads would wait for processors.
set_tests_properties(edge_abandoned_runs_test edge_edge_node_test edge_endless_responses_test
    edge_cold_targets_test edge_directory_test edge_evacuation_test
    edge_job_calls_test edge_job_ownership_test edge_leaving_instance_test edge_limited_targets_test edge_moved_routes_test edge_resumed_streams_test
    edge_run_limits_test edge_truncated_responses_test PROPERTIES RUN_SERIAL TRUE)
