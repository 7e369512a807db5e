# What `cmake --install` puts in place: the library with its headers and CMake
# package, and the programs. A test builds examples/embed against the result.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(headerDir ${CMAKE_INSTALL_INCLUDEDIR}/kumquat)
set(packageDir ${CMAKE_INSTALL_LIBDIR}/cmake/kumquat)

install(TARGETS kumquat kumquatgen EXPORT kumquatTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(EXPORT kumquatTargets NAMESPACE kumquat:: DESTINATION ${packageDir})
install(DIRECTORY src/ DESTINATION ${headerDir}
  FILES_MATCHING PATTERN "*.h"
  PATTERN "internal" EXCLUDE PATTERN "tests" EXCLUDE)
install(DIRECTORY generated/ DESTINATION ${headerDir}
  FILES_MATCHING PATTERN "*.h")
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/kumquatConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES cmake/kumquatConfig.cmake
  ${CMAKE_BINARY_DIR}/kumquatConfigVersion.cmake DESTINATION ${packageDir})
install(TARGETS kumquatd kumquatctl)

set(installTree ${CMAKE_BINARY_DIR}/installed)
add_test(NAME install
  COMMAND ${CMAKE_COMMAND} --install ${CMAKE_BINARY_DIR} --prefix ${installTree})
set_tests_properties(install PROPERTIES FIXTURES_SETUP installed)
add_test(NAME embed
  COMMAND ${CMAKE_CTEST_COMMAND} --build-and-test
    ${CMAKE_SOURCE_DIR}/examples/embed ${CMAKE_BINARY_DIR}/embed
    --build-generator ${CMAKE_GENERATOR}
    --build-options -DCMAKE_PREFIX_PATH=${installTree}
    --test-command embed)
set_tests_properties(embed PROPERTIES FIXTURES_REQUIRED installed)
