/** \file
 * HTTP status codes that nodes use in answers that they make themselves. */
#ifndef PLANTAINHATCH_REQUEST_HTTPSTATUS_H
#define PLANTAINHATCH_REQUEST_HTTPSTATUS_H

namespace plantainhatch::httpStatus {

inline constexpr unsigned Ok = 200;
inline constexpr unsigned NoContent = 204;
inline constexpr unsigned NotModified = 304;
inline constexpr unsigned BadRequest = 400;
inline constexpr unsigned Unauthorized = 401;
inline constexpr unsigned Forbidden = 403;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned MethodNotAllowed = 405;
inline constexpr unsigned RequestTimeout = 408;
inline constexpr unsigned Conflict = 409;
inline constexpr unsigned ContentTooLarge = 413;
inline constexpr unsigned UnprocessableContent = 422;
inline constexpr unsigned TooManyRequests = 429;
inline constexpr unsigned HeaderFieldsTooLarge = 431;
inline constexpr unsigned InternalServerError = 500;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned ServiceUnavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;

} // namespace plantainhatch::httpStatus

#endif
