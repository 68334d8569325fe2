#include "log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace Wasabistair::Base {

namespace {

// Lines buffered for standard output: what a busy VM logs in a few seconds.
constexpr int maxBufferedLines = 2048;

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else {
            line += (c >= 0 && c < ' ') ? ' ' : c;
        }
    }
    line += '"';
}

} // namespace

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    line += event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        if (needsQuotes(field.value)) {
            appendQuoted(line, field.value);
        } else {
            line += field.value;
        }
    }
    return line;
}

void configureLog(LogLevel level, LogOutput output)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n");
    const bool toStandardOutput = output == LogOutput::StandardOutput;
    const auto &target = toStandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    if (toStandardOutput) {
        auto buffer = std::make_shared<log4cxx::AsyncAppender>();
        buffer->setBufferSize(maxBufferedLines);
        buffer->setBlocking(false);
        buffer->addAppender(console);
        log4cxx::BasicConfigurator::configure(buffer);
    } else {
        log4cxx::BasicConfigurator::configure(console);
    }
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxx(level));
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("wasabistair");
    const log4cxx::LevelPtr target = toLog4cxx(level);
    if (!logger->isEnabledFor(target)) {
        return;
    }
    logger->forcedLog(target, formatLogLine(event, fields));
}

} // namespace Wasabistair::Base
