# laburnum_module(NAME SOURCES ... DEPENDS ... TESTS ... TEST_DEPENDS ...)
#
# Adds a static library for a module and, if TESTS are given, a test program
# that is labelled with the module's name in CTest. TEST_DEPENDS are linked into
# the test program only.
function(laburnum_module NAME)
  cmake_parse_arguments(M "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  add_library(${NAME} STATIC ${M_SOURCES})
  target_link_libraries(${NAME} PUBLIC ${M_DEPENDS})
  if(M_TESTS)
    laburnum_test(${NAME} TESTS ${M_TESTS} DEPENDS ${NAME} ${M_TEST_DEPENDS})
  endif()
endfunction()

# laburnum_test(LABEL TESTS ... DEPENDS ...)
#
# Adds a Boost.Test program named LABEL_test with the CTest label LABEL.
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
  # Fixes the seed and the number of runs of RapidCheck properties, so that
  # results are reproducible. For more runs, set RC_PARAMS and run the program
  # directly.
  set_tests_properties(${LABEL} PROPERTIES LABELS ${LABEL} TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=2000")
endfunction()
