/* Makes system calls of one process fail, for tests. Loaded by LD_PRELOAD; compiled by
 * `hillstall_fault_injection::system_faults`. The file named by HILLSTALL_SYSTEM_FAULTS is mapped as an array of
 * 64-bit integers, the slots below, which a test may change at any time. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum slot {
    WALL_CLOCK_OFFSET_NS,
    ACCEPT_ERROR,
    SOCKET_ERROR,
    CONNECT_ERROR,
    READ_ERROR,
    MAX_TRANSFER_BYTES,
    INTERRUPT_WAITS,
    FILE_WRITE_ERROR,
    FILE_SYNC_ERROR,
    INJECTED_COUNT,
    SLOTS
};

static int64_t none[SLOTS];
static volatile int64_t *slots = none;

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void map_slots(void) {
    const char *path = getenv("HILLSTALL_SYSTEM_FAULTS");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED) slots = mapped;
}

static void count(void) { __atomic_fetch_add(&slots[INJECTED_COUNT], 1, __ATOMIC_RELAXED); }

/* Whether a call fails; sets errno. */
static int fails(enum slot slot) {
    int64_t error = slots[slot];
    if (error == 0) return 0;
    count();
    errno = (int)error;
    return 1;
}

static int is_of_type(int fd, mode_t type) {
    struct stat status;
    int saved = errno;
    int is = fstat(fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
    errno = saved;
    return is;
}

/* The length of a transfer on a socket. */
static size_t shortened(size_t length) {
    int64_t max = slots[MAX_TRANSFER_BYTES];
    if (max <= 0 || length <= (size_t)max) return length;
    count();
    return (size_t)max;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = NEXT(clock_gettime)(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = now->tv_sec * 1000000000LL + now->tv_nsec + slots[WALL_CLOCK_OFFSET_NS];
        now->tv_sec = ns / 1000000000LL;
        now->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return fails(ACCEPT_ERROR) ? -1 : NEXT(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails(ACCEPT_ERROR) ? -1 : NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return domain == AF_INET && fails(SOCKET_ERROR) ? -1 : NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    int is_ip = address != NULL && address->sa_family == AF_INET;
    return is_ip && fails(CONNECT_ERROR) ? -1 : NEXT(connect)(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (!(flags & MSG_PEEK) && fails(READ_ERROR)) return -1;
    return NEXT(recv)(fd, buffer, shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    return NEXT(send)(fd, buffer, shortened(length), flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    return NEXT(read)(fd, buffer, is_of_type(fd, S_IFSOCK) ? shortened(length) : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (is_of_type(fd, S_IFREG) && fails(FILE_WRITE_ERROR)) return -1;
    return NEXT(write)(fd, buffer, is_of_type(fd, S_IFSOCK) ? shortened(length) : length);
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t offset) {
    return fails(FILE_WRITE_ERROR) ? -1 : NEXT(pwrite64)(fd, buffer, length, offset);
}

ssize_t pwrite(int fd, const void *buffer, size_t length, off_t offset) {
    return fails(FILE_WRITE_ERROR) ? -1 : NEXT(pwrite)(fd, buffer, length, offset);
}

int fsync(int fd) { return fails(FILE_SYNC_ERROR) ? -1 : NEXT(fsync)(fd); }

int fdatasync(int fd) { return fails(FILE_SYNC_ERROR) ? -1 : NEXT(fdatasync)(fd); }

int epoll_wait(int fd, struct epoll_event *events, int max, int timeout) {
    static __thread int is_second;
    is_second = !is_second;
    if (is_second && slots[INTERRUPT_WAITS]) {
        count();
        errno = EINTR;
        return -1;
    }
    return NEXT(epoll_wait)(fd, events, max, timeout);
}
