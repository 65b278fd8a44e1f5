//! Links between gateways, which can be cut: open connections are reset, new ones closed at once.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A switch that cuts all links; clones are the same one.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    is_cut: bool,
    open: Vec<TcpStream>,
}

impl Cut {
    pub fn set(&self, is_cut: bool) {
        let mut state = self.0.lock().unwrap();
        state.is_cut = is_cut;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a link to an address and returns the address of its near end.
    pub fn link(&self, far: SocketAddr) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let near = listener.local_addr().map_err(|e| e.to_string())?;
        let cut = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || cut.connect(stream, far));
            }
        });
        Ok(near)
    }

    fn connect(&self, near: TcpStream, far: SocketAddr) -> Option<()> {
        let far = TcpStream::connect_timeout(&far, Duration::from_secs(1)).ok()?;
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (back_from, back_to) = (far.try_clone().ok()?, near.try_clone().ok()?);
        {
            let mut state = self.0.lock().unwrap();
            if state.is_cut {
                return None;
            }
            state.open.push(near.try_clone().ok()?);
            state.open.push(far.try_clone().ok()?);
        }
        thread::spawn(move || pump(back_from, back_to));
        pump(near, far);
        Some(())
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16 << 10];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
