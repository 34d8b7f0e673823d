# laburnum_module(NAME SOURCES ... DEPENDS ... TESTS ...)
#
# One static library for each module and, when it has tests, one test program
# with the module's name as its ctest label.
function(laburnum_module NAME)
  cmake_parse_arguments(M "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  add_library(${NAME} STATIC ${M_SOURCES})
  target_link_libraries(${NAME} PUBLIC ${M_DEPENDS})
  if(M_TESTS)
    laburnum_test(${NAME} TESTS ${M_TESTS} DEPENDS ${NAME} ${M_TEST_DEPENDS})
  endif()
endfunction()

# laburnum_test(LABEL TESTS ... DEPENDS ...): a Boost.Test program.
function(laburnum_test LABEL)
  if(NOT LABURNUM_TESTS)
    return()
  endif()
  cmake_parse_arguments(T "" "" "TESTS;DEPENDS" ${ARGN})
  add_executable(${LABEL}_test ${T_TESTS} ${CMAKE_SOURCE_DIR}/cmake/testmain.cpp)
  target_compile_definitions(${LABEL}_test PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${LABEL}_test PRIVATE ${T_DEPENDS}
                                              Boost::unit_test_framework)
  add_test(NAME ${LABEL} COMMAND ${LABEL}_test)
  # Property tests take their seed and run count from here: the same verdict
  # each time. Set the variable by hand for more runs.
  set_tests_properties(${LABEL} PROPERTIES LABELS ${LABEL} TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=2000")
endfunction()
