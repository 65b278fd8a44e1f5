//! Tasks that run again and again.

#[doc(hidden)]
pub use smol;

/// Starts a task that runs a step again and again, with a pause between; dropping it stops it.
///
/// `every!(of, pause, step)` takes an `Arc`, a [`std::time::Duration`] and the path of an
/// asynchronous function of a reference to that `Arc`.
#[macro_export]
macro_rules! every {
    ($of:expr, $pause:expr, $step:path) => {{
        let (of, pause): (_, std::time::Duration) = ($of.clone(), $pause);
        $crate::smol::spawn(async move {
            loop {
                $step(&of).await;
                $crate::smol::Timer::after(pause).await;
            }
        })
    }};
}
