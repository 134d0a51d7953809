#pragma once

#include <optional>
#include <string_view>

namespace Untrusted {

/// A field of a head or of the trailers. \a value has no blanks around it.
struct AnswerField
{
    std::string_view name;
    std::string_view value;
};

/// Reads the heads of one answer and its trailers line by line, for HTTP libraries that take lines
/// which are not HTTP (RFC 9112, 4 and 5). The answer that a broken line belongs to is none.
class AnswerHeadReader
{
public:
    /// Reads the next \a line, with its CR and LF. Returns false if it is broken; nothing may be
    /// read after that.
    bool read(std::string_view line);
    /// The field of the line that was read last; empty if it was none.
    const std::optional<AnswerField> &field() const { return m_field; }
    /// The status of the last head that has begun; 0 if there is none.
    int status() const { return m_status; }
    /// Whether the head that is being read is that of the final answer.
    bool isInFinalHead() const;
    /// Whether the head of the final answer is complete.
    bool isComplete() const { return m_part == Part::Trailers; }

private:
    enum class Part { StatusLine, Fields, Trailers };

    bool readStatusLine(std::string_view text);
    bool readField(std::string_view text);

    Part m_part = Part::StatusLine;
    int m_status = 0;
    std::optional<AnswerField> m_field;
};

} // namespace Untrusted
