//! Periodic tasks, the abortion of work, and signals during a shutdown.

mod abortion;
mod interrupt;

pub use abortion::Abortion;
pub use interrupt::interrupted;

#[doc(hidden)]
pub use smol;

/// Spawns a task that runs a step periodically, with a pause after each run; dropping the task
/// cancels it.
///
/// `every!(context, pause, step)` takes an `Arc`, a [`std::time::Duration`] and the path of an
/// async function that takes a reference to that `Arc`.
#[macro_export]
macro_rules! every {
    ($context:expr, $pause:expr, $step:path) => {{
        let (context, pause): (_, std::time::Duration) = ($context.clone(), $pause);
        $crate::smol::spawn(async move {
            loop {
                $step(&context).await;
                $crate::smol::Timer::after(pause).await;
            }
        })
    }};
}
