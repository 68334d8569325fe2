# One function per kind of target (library, executable, test) with the options that all targets share.

# g++ 12 reports false positives of -Wrestrict inside std::string (GCC bug 105329).
set(WASABISTAIR_WARNINGS -Wall -Wextra -Wno-restrict)

function(add_wasabistair_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${WASABISTAIR_WARNINGS})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

function(add_wasabistair_executable name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${WASABISTAIR_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

function(add_wasabistair_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  add_wasabistair_executable(${name} SOURCES ${ARG_SOURCES} DEPENDS ${ARG_DEPENDS} doctest::doctest)
  # KNOWN-RED.txt lists test cases that are known to fail, one "TARGET | CASE | SEED | SEEN | ISSUE" per line. Only
  # these cases are excluded.
  set(known_red "")
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt red_lines REGEX "^${name} \\|")
  foreach(line IN LISTS red_lines)
    string(REGEX REPLACE "^[^|]*\\| *([^|]*[^| ]) *\\|.*" "\\1" red_case "${line}")
    list(APPEND known_red "--test-case-exclude=${red_case}")
  endforeach()
  add_test(NAME ${name} COMMAND ${name} ${known_red})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 600)
  endif()
  # The fixed RapidCheck seed makes every run check the same inputs. The logs of the VMs that a test starts are kept,
  # so that a failure that can't be reproduced can still be analysed.
  file(MAKE_DIRECTORY ${CMAKE_BINARY_DIR}/test-logs/${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300;WASABISTAIR_BIN=${CMAKE_RUNTIME_OUTPUT_DIRECTORY};WASABISTAIR_TEST_LOGS=${CMAKE_BINARY_DIR}/test-logs/${name}")
endfunction()
