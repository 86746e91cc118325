add_library(core_test_support STATIC ${CMAKE_CURRENT_LIST_DIR}/fake_deployment.cpp)
target_include_directories(core_test_support PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
target_link_libraries(core_test_support PUBLIC gooseberryfall_core)
add_tests(core core_test_support)
