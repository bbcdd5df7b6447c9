/// Entry point of the unit test program: runs every registered CppUTest test.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>

int main(int argc, char** argv)
{
    // CppUTest's leak detection reports caches inside libraries as leaks, so leaks are left to the
    // sanitizers.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::signal(SIGPIPE, SIG_IGN); // As in both daemons.
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
