/** \file
 * Owning pointers to objects of GLib. */
#ifndef PLANTAINHATCH_CONNECTION_GOBJECTPTR_H
#define PLANTAINHATCH_CONNECTION_GOBJECTPTR_H

#include <gio/gio.h>

#include <memory>
#include <string>

namespace plantainhatch {

/** Drops one reference of a GObject. */
struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/** Owns one reference of a GObject. */
template <typename T> using GObjectPtr = std::unique_ptr<T, GObjectUnref>;

/** Takes one more reference. */
template <typename T> GObjectPtr<T> refGObject(T *object) {
  return GObjectPtr<T>(static_cast<T *>(g_object_ref(object)));
}

/** Drops one reference of a byte buffer. */
struct GBytesUnref {
  void operator()(GBytes *bytes) const { g_bytes_unref(bytes); }
};

/** Owns one reference of a byte buffer. */
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

/** Frees an error. */
struct GErrorFree {
  void operator()(GError *error) const { g_error_free(error); }
};

/** Owns an error. */
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

/** Copies a buffer into a string. */
inline std::string toString(GBytes *bytes) {
  gsize n = 0;
  const auto *const data =
      static_cast<const char *>(g_bytes_get_data(bytes, &n));
  return data == nullptr ? std::string() : std::string(data, n);
}

} // namespace plantainhatch

#endif
