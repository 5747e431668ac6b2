//! Values of records, each cut to a length: a name that another writer chose may be as long as a value of the
//! directory.

use std::fmt;

use slog::{KV, Key, Record, Serializer};

/// The longest text of one value that a record keeps, in bytes: twice the longest name of an upstream, so that
/// a detail that quotes one is whole.
const MAX_VALUE_BYTES: usize = 500;

/// The values of a record, with long texts cut.
pub(super) struct Bounded<T>(pub(super) T);

impl<T: KV> KV for Bounded<T> {
    fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        self.0.serialize(record, &mut Cutting(serializer))
    }
}

/// Passes values on, and texts up to their longest length.
struct Cutting<'a>(&'a mut dyn Serializer);

/// The beginning of a text that is being written, and its whole length.
#[derive(Default)]
struct Beginning {
    text: String,
    whole_bytes: usize,
}

impl fmt::Write for Beginning {
    fn write_str(&mut self, piece: &str) -> fmt::Result {
        self.whole_bytes += piece.len();
        let left_bytes = MAX_VALUE_BYTES - self.text.len();
        self.text.push_str(&piece[..piece.floor_char_boundary(left_bytes)]);
        Ok(())
    }
}

/// Passes numbers and the like on as they are.
macro_rules! pass_on {
    ($($emit:ident: $type:ty),* $(,)?) => {
        $(fn $emit(&mut self, key: Key, value: $type) -> slog::Result {
            self.0.$emit(key, value)
        })*
    };
}

impl Serializer for Cutting<'_> {
    pass_on! {
        emit_bool: bool, emit_char: char,
        emit_u8: u8, emit_u16: u16, emit_u32: u32, emit_u64: u64, emit_usize: usize,
        emit_i8: i8, emit_i16: i16, emit_i32: i32, emit_i64: i64, emit_isize: isize,
        emit_f32: f32, emit_f64: f64,
    }

    fn emit_unit(&mut self, key: Key) -> slog::Result {
        self.0.emit_unit(key)
    }

    fn emit_none(&mut self, key: Key) -> slog::Result {
        self.0.emit_none(key)
    }

    fn emit_str(&mut self, key: Key, value: &str) -> slog::Result {
        if value.len() <= MAX_VALUE_BYTES {
            return self.0.emit_str(key, value);
        }
        self.emit_arguments(key, &format_args!("{value}"))
    }

    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        let mut beginning = Beginning::default();
        fmt::Write::write_fmt(&mut beginning, *value)?;
        let Beginning { text, whole_bytes } = beginning;
        if whole_bytes == text.len() {
            return self.0.emit_str(key, &text);
        }
        self.0.emit_arguments(key, &format_args!("{text}… ({whole_bytes} bytes)"))
    }
}
