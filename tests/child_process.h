/** @file child_process.h A program that a test runs as a process of its own. */
#pragma once

#include "core/time_type.h"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <sys/resource.h>
#include <sys/types.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace flamingotally
{

/** How a program is run. */
struct ChildOptions {
    std::vector<std::string> arguments{}; ///< Path of the program, and its arguments.
    std::string output{}; ///< File that gets the standard output and error; if empty, the output is discarded.
    bool isLogUnread = false; ///< The standard output and error are a pipe without a reader.
    rlim_t maxDescriptors = 0; ///< Limit of the process; zero for that of the test.
};

/** A child process. It is killed at the end of the object, if it still runs. */
class ChildProcess
{
public:
    explicit ChildProcess(const ChildOptions &options)
    {
        std::vector<char *> pointers;
        pointers.reserve(options.arguments.size() + 1);
        for (const auto &it : options.arguments) {
            pointers.push_back(const_cast<char *>(it.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast): execv
        }
        pointers.push_back(nullptr);
        m_pid = fork();
        CPPUNIT_ASSERT(m_pid >= 0);
        if (m_pid == 0) {
            run(options, pointers);
        }
    }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    ~ChildProcess()
    {
        if (isAlive()) {
            signal(SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }

    pid_t id() const
    {
        return m_pid;
    }

    void signal(int number) const
    {
        kill(m_pid, number);
    }

    bool isAlive()
    {
        if (!m_waitStatus) {
            int status = 0;
            if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_waitStatus = status;
            }
        }
        return !m_waitStatus;
    }

    /** Waits for the end of the process. Returns its exit status, or nullopt if it ends later or by a signal. */
    std::optional<int> exitStatus(Milliseconds limit)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (isAlive() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(Milliseconds{5});
        }
        return m_waitStatus && WIFEXITED(*m_waitStatus) ? std::optional(WEXITSTATUS(*m_waitStatus)) : std::nullopt;
    }

private:
    [[noreturn]] static void run(const ChildOptions &options, const std::vector<char *> &arguments)
    {
        constexpr mode_t mode = 0600;
        const auto *path = options.output.empty() ? "/dev/null" : options.output.c_str();
        const int output = open(path, O_WRONLY | O_CREAT | O_APPEND, mode);
        dup2(output, STDOUT_FILENO);
        if (!options.output.empty()) {
            dup2(output, STDERR_FILENO);
        }
        if (options.isLogUnread) {
            std::array<int, 2> ends{};
            [[maybe_unused]] const int result = pipe(ends.data());
            dup2(ends[1], STDOUT_FILENO);
            dup2(ends[1], STDERR_FILENO);
        }
        close_range(STDERR_FILENO + 1, ~0U, 0);
        if (options.maxDescriptors > 0) {
            const rlimit limit{options.maxDescriptors, options.maxDescriptors};
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        execv(arguments.front(), arguments.data());
        _exit(EXIT_FAILURE);
    }

    pid_t m_pid = 0;
    std::optional<int> m_waitStatus;
};

/** A folder for the files of one test, removed with the object. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "flamingotally-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    /** Returns the path of a file in the folder. */
    std::string file(const std::string &name) const
    {
        return m_path + "/" + name;
    }

private:
    std::string m_path;
};

/** Returns the text of a file; empty if it is not there. */
inline std::string textOf(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace flamingotally
