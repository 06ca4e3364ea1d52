/** \file
 * What is taken for a message, and what is not. */
#include "connection/HttpMessageReader.h"
#include "request/CallRequest.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using State = HttpMessageReader::State;

namespace {

struct RequestCase {
  const char *name;
  std::string bytes;
  State state;
};

} // namespace

TEST_GROUP(HttpMessageFaults) {
  HttpMessageReader request{HTTP_REQUEST};
  HttpMessageReader answer{HTTP_RESPONSE};
};

TEST(HttpMessageFaults, RequestsThatCouldHideAnotherAreMalformed) {
  const RequestCase cases[] = {
      {"length and chunks",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       State::Malformed},
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
       State::Malformed},
      {"length that is no number",
       "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc", State::Malformed},
      {"space before a colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
       State::Malformed},
      {"no protocol", "hello\r\n\r\n", State::Malformed},
      {"chunk without a size",
       "POST / HTTP/1.1\r\nTransfer-Encoding: "
       "chunked\r\n\r\nzz\r\n",
       State::Malformed},
      {"whole", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
       State::Complete}};
  for (const RequestCase &it : cases) {
    HttpMessageReader reader(HTTP_REQUEST);
    reader.feed(it.bytes);
    CHECK_TEXT(reader.state() == it.state, it.name);
  }
}

TEST(HttpMessageFaults, HeadOverTheLimitIsToldApart) {
  const std::string large(HttpMessageReader::MaxHeadBytes, 'x');
  request.feed("GET / HTTP/1.1\r\nX-Large: " + large + "\r\n\r\n");
  CHECK(request.state() == State::HeadTooLarge);
}

TEST(HttpMessageFaults, BytesBehindARequestWaitForTheirTurn) {
  const std::string both = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
  const std::size_t n = request.feed(both);
  CHECK(request.state() == State::Complete);
  STRCMP_EQUAL("/a", request.target.c_str());
  CHECK(n < both.size());
  request.restart();
  request.feed(both.substr(n));
  CHECK(request.state() == State::Complete);
  STRCMP_EQUAL("/b", request.target.c_str());
}

TEST(HttpMessageFaults, AnswerIsReadByteForByte) {
  const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const char c : bytes)
    answer.feed(std::string_view(&c, 1));
  CHECK(answer.state() == State::Complete);
  STRCMP_EQUAL("abc", answer.body.c_str());
}

TEST(HttpMessageFaults, SecondAnswerIsNotPartOfTheFirst) {
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  CHECK_EQUAL(one.size(), answer.feed(one + one));
  CHECK(answer.state() == State::Complete);
}

TEST(HttpMessageFaults, AnswerThatEndsEarlyIsNotWhole) {
  answer.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  answer.feedEnd();
  CHECK(answer.state() == State::Malformed);
  HttpMessageReader chunked(HTTP_RESPONSE);
  chunked.feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  chunked.feedEnd();
  CHECK(chunked.state() == State::Malformed);
}

// Guards against a whole answer made of one whose head broke off.
TEST(HttpMessageFaults, AnswerCutInItsHeadIsNotWhole) {
  const std::string head = "HTTP/1.1 200 OK\r\nServer-Signature: a\r\n"
                           "Content-Length: 3\r\nConnection: close\r\n\r\n";
  for (std::size_t n = 0; n < head.size(); ++n) {
    HttpMessageReader cut(HTTP_RESPONSE);
    cut.feed(head.substr(0, n));
    CHECK_FALSE(cut.hasHead());
    cut.feedEnd();
    CHECK(cut.state() == State::Malformed);
  }
}

TEST(HttpMessageFaults, AnswerWithoutALengthEndsWithItsConnection) {
  answer.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(answer.state() == State::Body);
  answer.feedEnd();
  CHECK(answer.state() == State::Complete);
  CHECK_FALSE(answer.keepsAlive());
}

TEST(HttpMessageFaults, InterimAnswerIsPassedOver) {
  answer.feed("HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n");
  CHECK_FALSE(answer.hasHead());
  answer.feed("HTTP/1.1 204 No Content\r\nX-Final: 1\r\n\r\n");
  CHECK(answer.state() == State::Complete);
  CHECK_EQUAL(204, answer.status());
  CHECK_EQUAL(1, answer.headers.size());
}

// Guards against an answer of no status that is taken for an interim one, whose
// body then stands before that of the next.
TEST(HttpMessageFaults, AnswerWithoutASoundStatusLineIsMalformed) {
  for (const std::string start : {"HTTP/1.1 000 None",
                                  "HTTP/1.1 099 Low",
                                  "HTTP/1.1 0 None",
                                  "HTTP/1.1 20 Short",
                                  "HTTP/1.1 0200 Long",
                                  "HTTP/1.1 2000 Long",
                                  "HTTP/1.1 600 High",
                                  "HTTP/1.1 999 High",
                                  "HTTP/1.1 101 Unasked",
                                  "HTTP/1.1 -20 Sign",
                                  "HTTP/1.1 2x0 Letter",
                                  "HTTP/1.1  200 OK",
                                  "HTTP/1.1 200OK",
                                  "HTTP/1.1 200\tOK",
                                  "HTTP/0.9 200 OK",
                                  "HTTP/1.2 200 OK",
                                  "HTTP/2.0 200 OK",
                                  "HTTP/9.9 200 OK",
                                  "HTTP/1.1200",
                                  "http/1.1 200 OK",
                                  "ICE/1.1 200 OK",
                                  "\r\nHTTP/1.1 200 OK",
                                  "HTTP/1.1"})
    for (const std::size_t pieceBytes : {1UL, 1000UL}) {
      HttpMessageReader reader(HTTP_RESPONSE);
      std::string bytes = start + "\r\nContent-Length: 3\r\n\r\nodd"
                                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
                                  "new";
      for (; !bytes.empty() && reader.state() == State::Head;
           bytes.erase(0, pieceBytes))
        reader.feed(std::string_view(bytes).substr(0, pieceBytes));
      CHECK_TEXT(reader.state() == State::Malformed, start.c_str());
      CHECK_TEXT(reader.body.empty(), start.c_str());
    }
}

TEST(HttpMessageFaults, AnswerWithAnOddButSoundStatusLineIsRead) {
  for (const std::string start :
       {"HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 599 x",
        "HTTP/1.1 402 \xff"}) {
    HttpMessageReader reader(HTTP_RESPONSE);
    reader.feed(start + "\r\nContent-Length: 0\r\n\r\n");
    CHECK_TEXT(reader.state() == State::Complete, start.c_str());
  }
}

// Guards against the body of an interim answer before that of the final one.
TEST(HttpMessageFaults, InterimAnswerHasNoBody) {
  const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
  for (const std::string interim :
       {"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nodd\r\n0\r\n\r\n"}) {
    HttpMessageReader reader(HTTP_RESPONSE);
    reader.feed(interim + final);
    CHECK_TEXT(reader.state() == State::Malformed, interim.c_str());
    CHECK_TEXT(reader.body.empty(), interim.c_str());
  }
  answer.feed("HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + final);
  CHECK(answer.state() == State::Complete);
  STRCMP_EQUAL("new", answer.body.c_str());
}

TEST(HttpMessageFaults, AnswersThatNeverHaveABodyHaveNone) {
  for (const std::string status : {"204 None", "304 Same"}) {
    HttpMessageReader reader(HTTP_RESPONSE);
    const std::string head =
        "HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\n";
    const std::size_t n = reader.feed(head + "odd");
    CHECK_EQUAL(head.size(), n);
    CHECK_TEXT(reader.state() == State::Complete, status.c_str());
    CHECK_TEXT(reader.body.empty(), status.c_str());
  }
}

TEST(HttpMessageFaults, RequestOfAnotherVersionIsMalformed) {
  for (const std::string line :
       {"GET / HTTP/9.9", "GET / HTTP/2.0", "GET / HTTP/1.2", "GET / HTTP/0.9",
        "GET /", "GET / HTTP/1.10", "GET / HTTP/11", "GET / http/1.1"}) {
    HttpMessageReader reader(HTTP_REQUEST);
    reader.feed(line + "\r\nHost: h\r\n\r\n");
    CHECK_TEXT(reader.state() == State::Malformed, line.c_str());
  }
}

TEST(HttpMessageFaults, AnswerToHeadHasNoBody) {
  answer.expectNoBody();
  answer.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(answer.state() == State::Complete);
}

// Guards against a header that concerns one connection only and is passed on,
// as it is named in a second Connection header.
TEST(HttpMessageFaults, NamesInEachConnectionHeaderAreNotPassedOn) {
  HeaderList list{{"Connection", "close, X-First"},
                  {"X-First", "1"},
                  {"connection", "x-second ,x-third"},
                  {"X-Second", "2"},
                  {"X-Third", "3"},
                  {"X-Kept", "4"}};
  removeHopByHopHeaders(list);
  CHECK_EQUAL(1, list.size());
  STRCMP_EQUAL("X-Kept", list.front().first.c_str());
}
