//! Measures the processor time and memory of a piece of code. Time is the processor time of the
//! thread, because other programs running at the same time would distort elapsed time.

use std::alloc;
use std::fs;
use std::hint;
use std::sync::atomic;
use std::time;

/// Least processor time over which repeated calls are averaged.
const MEASURED_TIME: time::Duration = time::Duration::from_millis(200);

static ALLOCATED_BYTES: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// System allocator that counts the bytes allocated and not yet freed.
#[derive(Debug)]
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: both calls are passed unchanged to the system allocator, which fulfils the contract.
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the caller fulfils the contract of `alloc`.
        unsafe { alloc::System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: alloc::Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        // SAFETY: the pointer came from `alloc` above with the same layout.
        unsafe { alloc::System.dealloc(pointer, layout) }
    }
}

/// Returns the processor time that the calling thread has used so far.
pub fn thread_time() -> time::Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    let nanoseconds = first.and_then(|word| word.parse().ok()).unwrap_or(0);
    time::Duration::from_nanos(nanoseconds)
}

/// Returns the mean processor time of a call, in microseconds.
pub fn microseconds<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls: u32 = 1;
    loop {
        let start = thread_time();
        for _ in 0..calls {
            hint::black_box(call());
        }
        let used = thread_time().saturating_sub(start);
        if used >= MEASURED_TIME {
            return used.as_secs_f64() * 1e6 / f64::from(calls);
        }
        calls = calls.saturating_mul(2);
    }
}

/// Returns what `build` returns and the bytes of memory that `build` allocated and did not free.
pub fn held_bytes<T>(build: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED_BYTES.load(atomic::Ordering::Relaxed);
    let built = build();
    let after = ALLOCATED_BYTES.load(atomic::Ordering::Relaxed);
    (built, after.saturating_sub(before))
}
