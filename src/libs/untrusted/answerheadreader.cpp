#include "untrusted/answerheadreader.h"

#include "untrusted/answerhead.h"

#include <algorithm>

namespace Untrusted {

namespace {

constexpr int firstFinalStatus = 200;
constexpr std::size_t statusDigits = 3;
constexpr std::string_view lineEnd = "\r\n";

bool isDigit(char it)
{
    return it >= '0' && it <= '9';
}

/// Whether \a it may be part of the name of a field (RFC 9110, 5.6.2).
bool isTokenCharacter(char it)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
    return isLetter || isDigit(it) || others.find(it) != std::string_view::npos;
}

/// Whether \a text may be the value of a field or the reason behind a status (RFC 9110, 5.5).
bool isText(std::string_view text)
{
    return std::ranges::all_of(
        text, [](unsigned char it) { return it == '\t' || (it >= ' ' && it != 0x7f); });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

} // namespace

bool AnswerHeadReader::read(std::string_view line)
{
    m_field.reset();
    if (!line.ends_with(lineEnd))
        return false;
    const std::string_view text = line.substr(0, line.size() - lineEnd.size());
    if (m_part == Part::StatusLine)
        return readStatusLine(text);
    if (!text.empty())
        return readField(text);
    if (m_part == Part::Fields)
        m_part = m_status >= firstFinalStatus ? Part::Trailers : Part::StatusLine;
    return true;
}

bool AnswerHeadReader::isInFinalHead() const
{
    return m_part == Part::Fields && m_status >= firstFinalStatus;
}

bool AnswerHeadReader::readStatusLine(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    // Behind the protocol: the digit of the version, a blank and the digits of the status.
    constexpr std::size_t statusAt = protocol.size() + 2;
    if (!text.starts_with(protocol) || text.size() < statusAt + statusDigits)
        return false;
    const std::string_view digits = text.substr(statusAt, statusDigits);
    const std::string_view reason = text.substr(statusAt + statusDigits);
    const bool isStatusLine = isDigit(text[protocol.size()]) && text[protocol.size() + 1] == ' '
                              && std::ranges::all_of(digits, isDigit)
                              && (reason.empty() || reason.starts_with(' ')) && isText(reason);
    if (!isStatusLine)
        return false;
    m_status = 0;
    for (const char it : digits)
        m_status = m_status * 10 + (it - '0');
    m_part = Part::Fields;
    return isAnswerStatus(static_cast<unsigned>(m_status));
}

bool AnswerHeadReader::readField(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view name = text.substr(0, colon);
    const std::string_view value = text.substr(colon + 1);
    if (name.empty() || !std::ranges::all_of(name, isTokenCharacter) || !isText(value))
        return false;
    m_field = AnswerField{name, trimmed(value)};
    return true;
}

} // namespace Untrusted
