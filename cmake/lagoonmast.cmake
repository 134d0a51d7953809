# Compiler warnings for every target of this project.
add_library(lagoonmast_warnings INTERFACE)
target_compile_options(lagoonmast_warnings INTERFACE -Wall -Wextra -Wpedantic -Werror)

# lagoonmast_library(NAME [LINK target...]): adds a library of every .cpp file in the current
# folder, or a header-only one if there is none.
function(lagoonmast_library name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/libs)
        target_link_libraries(${name} PRIVATE lagoonmast_warnings PUBLIC ${ARG_LINK})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE ${PROJECT_SOURCE_DIR}/src/libs)
        target_link_libraries(${name} INTERFACE ${ARG_LINK})
    endif()
endfunction()

# lagoonmast_test(LIB [LINK target...] [LONG tag...]): adds a test program for the library LIB, of
# every .cpp file in the current folder. Test cases with a LONG tag take long or stand alone; they run
# as a separate test with 40 instead of 200 random cases per property.
function(lagoonmast_test lib)
    cmake_parse_arguments(ARG "" "" "LINK;LONG" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(tst_${lib} ${sources})
    target_include_directories(tst_${lib} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(tst_${lib} PRIVATE lagoonmast_warnings testmain ${lib} ${ARG_LINK})
    set(without_long "~[.]")
    foreach(tag ${ARG_LONG})
        string(APPEND without_long "~[${tag}]")
        add_test(NAME tst_${lib}_${tag} COMMAND tst_${lib} "[${tag}]")
        set_tests_properties(tst_${lib}_${tag} PROPERTIES
            ENVIRONMENT "RC_PARAMS=seed=20261 max_success=40" TIMEOUT 240)
    endforeach()
    add_test(NAME tst_${lib} COMMAND tst_${lib} "${without_long}")
    # A fixed seed makes every run use the same random cases.
    set_tests_properties(tst_${lib} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261 max_success=200" TIMEOUT 240)
endfunction()
