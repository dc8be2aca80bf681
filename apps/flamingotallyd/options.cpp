#include "options.h"

#include "codec/settings_codec.h"
#include "codec/settings_field.h"
#include "net/settings_file.h"
#include "net/start_log.h"

#include <boost/program_options.hpp>

#include <sstream>
#include <vector>

namespace flamingotally
{

namespace po = boost::program_options;

namespace
{

using StringList = std::vector<std::string>;

po::options_description describeOptions()
{
    po::options_description all("flamingotallyd: entry daemon of the cluster scheduler flamingotally");
    auto add = all.add_options();
    add("help,h", "print this help text");
    add("version", "print the version");
    add("config,c", po::value<std::string>(), "settings file in TOML");
    add("set,s",
        po::value<StringList>()->composing(),
        "one setting as key=value; overrides the settings file; may be repeated");
    add("check-config", "validate the settings and exit");
    add("print-config",
        "print each setting, except the values of secrets, with its meaning and its allowed values, and exit");
    return all;
}

Mode modeOf(const po::variables_map &values)
{
    if (values.count("help") > 0) {
        return Mode::Help;
    }
    if (values.count("version") > 0) {
        return Mode::Version;
    }
    if (values.count("check-config") > 0) {
        return Mode::CheckConfig;
    }
    return values.count("print-config") > 0 ? Mode::PrintConfig : Mode::Run;
}

/** Reads a settings file. A daemon that is to run waits for one that is not whole yet. */
absl::StatusOr<std::string> readFile(const std::string &path, Mode mode)
{
    return mode == Mode::Run ? awaitSettingsFile(path, StartLog()) : readTextFile(path);
}

/** Reads the settings file, if one is named, and applies the overrides of the command line. */
absl::StatusOr<Settings> readSettings(const po::variables_map &values, Mode mode)
{
    SettingsBuilder builder;
    if (values.count("config") > 0) {
        const auto path = values["config"].as<std::string>();
        const auto text = readFile(path, mode);
        if (!text.ok()) {
            return text.status();
        }
        if (auto status = builder.addToml(*text, path); !status.ok()) {
            return status;
        }
    }
    if (values.count("set") > 0) {
        for (const auto &it : values["set"].as<StringList>()) {
            if (auto status = builder.addOverride(it); !status.ok()) {
                return status;
            }
        }
    }
    return builder.build();
}

} // namespace

absl::StatusOr<Options> parseOptions(int argc, const char *const *argv)
{
    const auto description = describeOptions();
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional({}).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        return usageError(error.what());
    }
    Options options;
    std::ostringstream help;
    help << description << '\n' << exitStatusHelp();
    options.help = help.str();
    options.mode = modeOf(values);
    if (options.mode == Mode::Help || options.mode == Mode::Version) {
        return options;
    }
    auto settings = readSettings(values, options.mode);
    if (!settings.ok()) {
        return settings.status();
    }
    options.settings = *std::move(settings);
    return options;
}

} // namespace flamingotally
