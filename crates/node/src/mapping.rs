//! Memory for large buffers that the operating system takes back as soon as a buffer is dropped.
//!
//! An allocator keeps freed blocks, and while many buffers grow at the same time it keeps several times what they hold.

use std::ptr::NonNull;

use rustix::mm::{MapFlags, ProtFlags, mmap_anonymous, munmap};

/// Private memory whose pages take up memory only once they have been written.
#[derive(Debug)]
pub(crate) struct Mapping {
    start: NonNull<u8>,
    capacity: usize,
    len: usize,
}

// SAFETY: the mapping is owned by this value alone, and its bytes are changed only through a unique reference.
unsafe impl Send for Mapping {}
// SAFETY: as above; shared references only read.
unsafe impl Sync for Mapping {}

impl Mapping {
    /// Maps `capacity` bytes, which must not be 0.
    pub(crate) fn new(capacity: usize) -> std::io::Result<Self> {
        // SAFETY: a new anonymous mapping at an address that the kernel chooses touches no existing memory.
        let start = unsafe {
            mmap_anonymous(
                std::ptr::null_mut(),
                capacity,
                ProtFlags::READ | ProtFlags::WRITE,
                MapFlags::PRIVATE,
            )
        }?;
        let start = NonNull::new(start.cast()).ok_or(std::io::ErrorKind::OutOfMemory)?;
        Ok(Self {
            start,
            capacity,
            len: 0,
        })
    }

    /// Number of bytes that still fit.
    pub(crate) fn remaining(&self) -> usize {
        self.capacity - self.len
    }

    /// Appends bytes.
    ///
    /// # Panics
    ///
    /// Panics if the bytes do not fit.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        assert!(bytes.len() <= self.remaining(), "the bytes fit into the mapping");
        // SAFETY: the range lies within the mapping, which is writable and cannot overlap a borrowed slice.
        let end = unsafe { self.start.add(self.len) };
        // SAFETY: as above.
        unsafe { std::ptr::copy_nonoverlapping(bytes.as_ptr(), end.as_ptr(), bytes.len()) };
        self.len += bytes.len();
    }
}

impl AsRef<[u8]> for Mapping {
    fn as_ref(&self) -> &[u8] {
        // SAFETY: the first `len` bytes are mapped and initialised, and live as long as this value.
        unsafe { std::slice::from_raw_parts(self.start.as_ptr(), self.len) }
    }
}

impl Drop for Mapping {
    fn drop(&mut self) {
        // SAFETY: the range was mapped in `new` and no reference to it outlives this value.
        let unmapped = unsafe { munmap(self.start.as_ptr().cast(), self.capacity) };
        if let Err(error) = unmapped {
            log::error!("failed to unmap {} bytes: {error}", self.capacity);
        }
    }
}
