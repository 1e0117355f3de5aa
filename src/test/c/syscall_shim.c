/*
 * Lets system calls on sockets fail as Linux documents, and steps the wall clock. Built and preloaded by the tests.
 *
 * SHIM_EINTR_READ, SHIM_EINTR_WRITE, SHIM_SHORT, SHIM_ACCEPT, SHIM_CONNECT, SHIM_SOCKET: per cent of the calls that are touched.
 * SHIM_CLOCK: a file whose first eight bytes are added to the wall clock, in milliseconds; the monotonic clock is left alone.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define REAL(name) __typeof__(&name) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static int share(const char *name) {
    const char *text = getenv(name);
    return text ? atoi(text) : 0;
}

static int drawn(const char *name) {
    static _Thread_local unsigned seed = 7;
    int per_cent = share(name);
    return per_cent > 0 && (int) (rand_r(&seed) % 100) < per_cent;
}

static int is_socket(int fd) {
    struct stat seen;
    return fstat(fd, &seen) == 0 && S_ISSOCK(seen.st_mode);
}

static ssize_t failed(int error) {
    errno = error;
    return -1;
}

ssize_t read(int fd, void *to, size_t count) {
    REAL(read);
    if (is_socket(fd)) {
        if (drawn("SHIM_EINTR_READ")) return failed(EINTR);
        if (count > 1 && drawn("SHIM_SHORT")) count = 1 + count / 7;
    }
    return real(fd, to, count);
}

ssize_t recv(int fd, void *to, size_t count, int flags) {
    REAL(recv);
    if (drawn("SHIM_EINTR_READ")) return failed(EINTR);
    return real(fd, to, count, flags);
}

ssize_t readv(int fd, const struct iovec *to, int count) {
    REAL(readv);
    if (is_socket(fd) && drawn("SHIM_EINTR_READ")) return failed(EINTR);
    return real(fd, to, count);
}

ssize_t write(int fd, const void *from, size_t count) {
    REAL(write);
    if (is_socket(fd)) {
        if (drawn("SHIM_EINTR_WRITE")) return failed(EINTR);
        if (count > 1 && drawn("SHIM_SHORT")) count = 1 + count / 3;
    }
    return real(fd, from, count);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    REAL(writev);
    if (is_socket(fd) && drawn("SHIM_EINTR_WRITE")) return failed(EINTR);
    return real(fd, from, count);
}

static int accept_error(void) {
    static const int errors[] = {ECONNABORTED, EINTR, ENOBUFS, EMFILE, ENFILE, ENOMEM};
    static _Thread_local unsigned turn;
    return errors[turn++ % (sizeof errors / sizeof errors[0])];
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return drawn("SHIM_ACCEPT") ? (int) failed(accept_error()) : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return drawn("SHIM_ACCEPT") ? (int) failed(accept_error()) : real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH};
    static _Thread_local unsigned turn;
    if (drawn("SHIM_CONNECT")) return (int) failed(errors[turn++ % 4]);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain != AF_UNIX && drawn("SHIM_SOCKET")) return (int) failed(ENOBUFS);
    return real(domain, type, protocol);
}

static int64_t clock_step(void) {
    static volatile int64_t *step;
    static int looked;
    if (!looked) {
        looked = 1;
        const char *name = getenv("SHIM_CLOCK");
        int fd = name ? open(name, O_RDONLY) : -1;
        if (fd >= 0) {
            void *mapped = mmap(NULL, sizeof *step, PROT_READ, MAP_SHARED, fd, 0);
            step = mapped == MAP_FAILED ? NULL : mapped;
        }
    }
    return step ? *step : 0;
}

int clock_gettime(clockid_t which, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(which, now);
    if (result == 0 && which == CLOCK_REALTIME) {
        now->tv_sec += clock_step() / 1000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(now, zone);
    if (result == 0) now->tv_sec += clock_step() / 1000;
    return result;
}
