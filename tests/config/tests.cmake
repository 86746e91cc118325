add_tests(config gooseberryfall_config)
# Pages and examples of the source folder are checked against the code.
foreach(name settings_file_test fleet_file_test mutation_test)
    if(TARGET config_${name})
        target_compile_definitions(config_${name} PRIVATE SOURCE_ROOT="${PROJECT_SOURCE_DIR}")
    endif()
endforeach()
