//! Resource vectors of workers and gang members.

use schema::shape::Shape;

/// Resources of a worker or of a gang member.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mb: u32,
}

impl Resources {
    /// Returns the resources of one member of the shape.
    pub fn of(shape: &Shape) -> Self {
        Self {
            accelerators: shape.accelerators.into(),
            cores: shape.cores.into(),
            memory_mb: shape.memory_mb,
        }
    }

    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    pub fn saturating_mul(self, n: u16) -> Self {
        let n = u32::from(n);
        Self {
            accelerators: self.accelerators.saturating_mul(n),
            cores: self.cores.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
        }
    }

    pub fn fits_in(self, room: Self) -> bool {
        self.accelerators <= room.accelerators
            && self.cores <= room.cores
            && self.memory_mb <= room.memory_mb
    }

    /// Returns how often `each` fits into these resources, at most `max` times.
    pub fn count_of(self, each: Self, max: u16) -> u16 {
        let div = |free: u32, each: u32| free.checked_div(each).unwrap_or(u32::MAX);
        div(self.accelerators, each.accelerators)
            .min(div(self.cores, each.cores))
            .min(div(self.memory_mb, each.memory_mb))
            .min(max.into()) as u16
    }
}
